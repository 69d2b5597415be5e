#include "lycheeshunt/ctl/report.h"

#include "lycheeshunt/membership/member.h"

#include <cpprest/json.h>

#include <iomanip>

namespace lycheeshunt::ctl {

namespace {

using web::json::value;

exit_status reportFailure(const base::result<http_answer> &answer, std::ostream &errors)
{
    if (const base::error *failure = base::errorOf(answer)) {
        errors << failure->text() << "\n";
        return unreachable;
    }
    const std::string &body = base::valueOf(answer).body;
    try {
        const value json = value::parse(body);
        for (const value &fault : json.at("faults").as_array())
            errors << fault.at("text").as_string() << "\n";
    } catch (const std::exception &) {
        errors << body << "\n";
    }
    return refused;
}

std::string textOr(const value &object, const std::string &key, const std::string &fallback)
{
    return object.has_field(key) ? object.at(key).as_string() : fallback;
}

void printNames(const value &json, const std::string &list, std::ostream &out)
{
    const std::uint64_t count = json.at(list + "_count").as_number().to_uint64();
    if (count == 0)
        return;
    out << list << " (" << count << "):";
    for (const value &name : json.at(list).as_array())
        out << " " << name.as_string();
    out << "\n";
}

void printTicket(const value &json, std::ostream &out)
{
    out << "ticket " << json.at("number").serialize() << " by " << json.at("author").as_string()
        << ": accepted at generation " << json.at("generation").serialize() << ", "
        << (json.at("in_force").as_bool() ? "in force" : "not in force everywhere") << "\n";
    printNames(json, "behind", out);
    printNames(json, "unreachable", out);
}

void printMembers(const value &json, const std::string &list, std::ostream &out)
{
    constexpr int column = 22;
    out << "generation " << json.at("generation").serialize() << "\n" << std::left;
    for (const char *title : {"NAME", "ROLE", "SERVICE", "AVAILABILITY ZONE"})
        out << std::setw(column) << title;
    out << "STATE\n";
    for (const value &row : json.at(list).as_array()) {
        out << std::setw(column) << row.at("name").as_string() << std::setw(column)
            << row.at("role").as_string() << std::setw(column) << textOr(row, "service", "-")
            << std::setw(column) << row.at("availability_zone").as_string()
            << row.at("state").as_string() << "\n";
    }
}

std::string agentText(const value &agent)
{
    return agent.at("name").as_string() + " (" + agent.at("availability_zone").as_string() + ", "
        + agent.at("address").as_string() + ", " + agent.at("state").as_string() + ")";
}

void printServices(const value &json, std::ostream &out)
{
    out << "new flows: " << json.at("service").as_string() << " (hash position "
        << json.at("hash_position").serialize() << " of " << json.at("total_weight").serialize()
        << ")\nservices that may have an open flow, in the order of the search:\n";
    for (const value &service : json.at("services").as_array()) {
        out << "  " << service.at("name").as_string();
        if (service.at("former").as_bool())
            out << ": former, gets no new flows\n";
        else
            out << ": weight " << service.at("weight").serialize() << ", positions from "
                << service.at("from").serialize() << "\n";
    }
    if (json.at("other_services_possible").as_bool())
        out << "  and former services that are no longer listed\n";
}

void printRestricted(const value &agent, std::ostream &out)
{
    out << "restricted " << agentText(agent) << ":";
    for (const value &reason : agent.at("reasons").as_array())
        out << " " << reason.as_string() << ";";
    if (!agent.at("new_flows").as_bool())
        out << " gets no new flows\n";
    else if (agent.at("directs").as_bool())
        out << " directs new flows with share " << agent.at("share").serialize() << " of "
            << std::uint32_t(membership::fullShare) << "\n";
    else
        out << " directs no new flows, other agents may place one here\n";
}

void printWhere(const value &json, std::ostream &out)
{
    out << "generation " << json.at("generation").serialize() << "\naddress "
        << json.at("address").as_string() << ", protocol " << json.at("protocol").serialize()
        << ": served\n";
    printServices(json, out);
    if (json.has_field("director"))
        out << "bucket " << json.at("bucket").serialize() << "\ndirector "
            << agentText(json.at("director")) << "\nbackup " << agentText(json.at("backup"))
            << "\n";
    else
        out << "no agent: new flows are refused with E302\n";
    for (const value &agent : json.at("restricted_agents").as_array())
        printRestricted(agent, out);
    if (json.has_field("route")) {
        const value &route = json.at("route");
        out << "route: " << route.at("kind").as_string() << ", priority "
            << route.at("priority").serialize() << ", time-out "
            << route.at("timeout_ms").serialize() << " ms, target latency "
            << route.at("target_latency_ms").serialize() << " ms\n";
    }
    for (const value &note : json.at("notes").as_array())
        out << "note: " << note.as_string() << "\n";
}

template <typename printer>
exit_status report(const base::result<http_answer> &answer, report_form form, printer print,
                   std::ostream &out, std::ostream &errors)
{
    if (!base::isOk(answer) || !base::valueOf(answer).isOk())
        return reportFailure(answer, errors);
    if (form == report_form::json)
        out << base::valueOf(answer).body << "\n";
    else
        print(value::parse(base::valueOf(answer).body));
    return done;
}

} // namespace

exit_status reportTicket(const base::result<http_answer> &answer, report_form form,
                         bool mustBeInForce, std::ostream &out, std::ostream &errors)
{
    if (!base::isOk(answer) || !base::valueOf(answer).isOk())
        return reportFailure(answer, errors);
    const value json = value::parse(base::valueOf(answer).body);
    if (form == report_form::json)
        out << base::valueOf(answer).body << "\n";
    else
        printTicket(json, out);
    return mustBeInForce && !json.at("in_force").as_bool() ? notInForce : done;
}

exit_status reportMembers(const base::result<http_answer> &answer, report_form form,
                          const std::string &list, std::ostream &out, std::ostream &errors)
{
    return report(
        answer, form, [&](const value &json) { printMembers(json, list, out); }, out, errors);
}

exit_status reportWhere(const base::result<http_answer> &answer, report_form form,
                        std::ostream &out, std::ostream &errors)
{
    return report(
        answer, form, [&](const value &json) { printWhere(json, out); }, out, errors);
}

} // namespace lycheeshunt::ctl
