#include "lycheeshunt/ctl/report.h"

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
    if (!base::isOk(answer) || !base::valueOf(answer).isOk())
        return reportFailure(answer, errors);
    if (form == report_form::json)
        out << base::valueOf(answer).body << "\n";
    else
        printMembers(value::parse(base::valueOf(answer).body), list, out);
    return done;
}

} // namespace lycheeshunt::ctl
