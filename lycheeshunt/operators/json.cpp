#include "lycheeshunt/operators/json.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/in_force_answer.h"
#include "lycheeshunt/json/members.h"
#include "lycheeshunt/operators/flow_destination.h"
#include "lycheeshunt/operators/ticket_schema.h"
#include "lycheeshunt/tickets/ticket_record.h"

#include <cpprest/json.h>

namespace lycheeshunt::operators {

namespace {

using web::json::value;

// The functions that return parts of a ticket read a valid one.

std::uint32_t numberOr(const rapidjson::Value &object, const char *key, std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(json::numberIn(object, key).value_or(fallback));
}

base::clock_time millisOr(const rapidjson::Value &object, const char *key,
                          base::clock_time fallback)
{
    return base::clock_time::ofMillis(
        numberOr(object, key, static_cast<std::uint32_t>(fallback.millis())));
}

tickets::service_limits limitsFrom(const rapidjson::Value &limits)
{
    const tickets::service_limits usual;
    return tickets::service_limits {numberOr(limits, "slots", usual.slots),
                                    numberOr(limits, "connections", usual.connections),
                                    numberOr(limits, "queue_length", usual.queueLength),
                                    millisOr(limits, "queue_wait_ms", usual.queueWait),
                                    millisOr(limits, "long_work_age_ms", usual.longWorkAge),
                                    numberOr(limits, "short_only_slots", usual.shortOnlySlots)};
}

tickets::ticket_change serviceFrom(const rapidjson::Value &service)
{
    const tickets::service_definition usual;
    std::vector<tickets::service_address> addresses;
    for (const rapidjson::Value &raw : json::requiredIn(service, "addresses").GetArray())
        addresses.push_back(addressFrom(json::viewOf(raw)).value());
    const rapidjson::Value *limits = json::memberIn(service, "limits");
    return tickets::service_definition {json::textIn(service, "name").value(), std::move(addresses),
                                        limits == nullptr ? usual.limits : limitsFrom(*limits),
                                        numberOr(service, "buckets", usual.buckets)};
}

tickets::ticket_change changeFrom(const rapidjson::Value &change)
{
    if (const rapidjson::Value *service = json::memberIn(change, "service"))
        return serviceFrom(*service);
    if (const std::optional<std::string> removed = json::textIn(change, "remove_service"))
        return tickets::service_removal {*removed};
    const rapidjson::Value &drain = json::requiredIn(change, "drain");
    const rapidjson::Value *isDraining = json::memberIn(drain, "draining");
    return tickets::drain_order {json::textIn(drain, "node").value(),
                                 isDraining == nullptr || isDraining->GetBool()};
}

value namesJson(const std::vector<std::string> &names)
{
    std::vector<value> all;
    all.reserve(names.size());
    for (const std::string &name : names)
        all.push_back(value::string(name));
    return value::array(all);
}

// The lists are truncated to a limit; the counts are complete.
void addLaggards(value &json, const dissemination::in_force_answer &force)
{
    json["behind"] = namesJson(force.behind);
    json["behind_count"] = value::number(static_cast<std::uint64_t>(force.behindCount));
    json["unreachable"] = namesJson(force.unreachable);
    json["unreachable_count"] = value::number(static_cast<std::uint64_t>(force.unreachableCount));
}

const char *phaseName(const dissemination::cluster_view &view, const membership::member &member)
{
    if (view.isDraining(member))
        return "draining";
    return member.phase == membership::member_phase::suspected ? "suspected" : "serving";
}

value memberJson(const dissemination::cluster_view &view, const membership::member &member)
{
    value json = value::object();
    json["name"] = value::string(member.name);
    json["availability_zone"] = value::string(member.availabilityZone);
    json["role"] = value::string(member.role == membership::member_role::entry ? "entry" : "agent");
    json["state"] = value::string(phaseName(view, member));
    const auto service = view.services.find(member.service);
    if (service != view.services.end())
        json["service"] = value::string(service->second.name);
    return json;
}

std::string serviceName(const dissemination::cluster_view &view, base::service_id service)
{
    const auto found = view.services.find(service);
    return found == view.services.end() ? "unknown service" : found->second.name;
}

value agentJson(const dissemination::cluster_view &view, base::node_id node)
{
    const membership::member &agent = view.members.at(node);
    value json = memberJson(view, agent);
    json["address"] = value::string(agent.packets.text());
    return json;
}

// In the order of routing::restriction.
constexpr const char *restrictionNames[]
    = {"draining", "evacuated zone", "suspected", "bad health", "cold start share"};

value restrictedJson(const dissemination::cluster_view &view,
                     const routing::restricted_agent &agent)
{
    std::vector<std::string> reasons;
    for (const routing::restriction each : agent.restrictions)
        reasons.emplace_back(restrictionNames[static_cast<std::size_t>(each)]);
    value json = agentJson(view, agent.node);
    json["reasons"] = namesJson(reasons);
    json["new_flows"] = value::boolean(agent.mayGetFlows);
    json["directs"] = value::boolean(agent.isDirector);
    json["share"] = value::number(std::uint32_t(view.members.at(agent.node).share));
    return json;
}

// In the order in which entries ask them. A former service has no weight.
value servicesJson(const dissemination::cluster_view &view, const flow_destination &where)
{
    std::map<base::service_id, value> weights;
    std::uint64_t from = 0;
    for (const tickets::route_share &share : where.split.shares) {
        if (share.weight > 0)
            weights[share.service] = value::object(
                {{"weight", value::number(share.weight)}, {"from", value::number(from)}});
        from += share.weight;
    }
    std::vector<value> services;
    for (const base::service_id service : where.services) {
        value json = weights.count(service) > 0 ? weights.at(service) : value::object();
        json["former"] = value::boolean(weights.count(service) == 0);
        json["name"] = value::string(serviceName(view, service));
        services.push_back(json);
    }
    return value::array(services);
}

value routeJson(const tickets::address_route &route)
{
    const char *kind = route.kind == tickets::request_kind::idempotent ? "idempotent"
        : route.kind == tickets::request_kind::upload                  ? "upload"
                                                                       : "non-idempotent";
    return value::object({{"kind", value::string(kind)},
                          {"priority", value::number(route.priority)},
                          {"timeout_ms", value::number(route.timeout.millis())},
                          {"target_latency_ms", value::number(route.targetLatency.millis())}});
}

// What the view doesn't decide.
const std::vector<std::string> whereNotes = {
    "entries may bypass an agent that they find silent, and send a repeated opening packet to the "
    "backup",
    "agents place a new flow by their load and the state of their servers: the director is where "
    "this is decided, not always where the flow opens",
    "an open flow stays with its owner"};

} // namespace

base::result<tickets::ticket> ticketFromJson(const std::string &text)
{
    const base::result<rapidjson::Document> read = readValidTicket(text);
    if (const base::error *failure = base::errorOf(read))
        return *failure;
    const rapidjson::Document &document = base::valueOf(read);
    std::vector<tickets::ticket_change> changes;
    for (const rapidjson::Value &change : json::requiredIn(document, "changes").GetArray())
        changes.push_back(changeFrom(change));
    return tickets::ticket {base::ticket_number(json::requiredIn(document, "number").GetUint64()),
                            json::textIn(document, "author").value(), std::move(changes)};
}

std::string refusalJson(const tickets::ticket_refusal &refusal)
{
    std::vector<value> faults;
    for (const base::error &fault : refusal.faults) {
        value json = value::object();
        json["code"] = value::number(static_cast<std::uint32_t>(fault.code));
        json["text"] = value::string(fault.text());
        faults.push_back(json);
    }
    value json = value::object();
    json["faults"] = value::array(faults);
    return json.serialize();
}

std::string recordJson(const tickets::ticket_record &record,
                       const dissemination::in_force_answer &force)
{
    value json = value::object();
    json["number"] = value::number(record.ticket.number.value());
    json["author"] = value::string(record.ticket.author);
    json["generation"] = value::number(record.at.value());
    json["accepted_at_ms"] = value::number(record.acceptedAt.millis());
    json["in_force"] = value::boolean(force.isInForce());
    addLaggards(json, force);
    return json.serialize();
}

std::string serversJson(const dissemination::cluster_view &view)
{
    std::vector<value> servers;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        if (it->second.role == membership::member_role::agent)
            servers.push_back(memberJson(view, it->second));
    }
    value json = value::object();
    json["generation"] = value::number(view.at.value());
    json["servers"] = value::array(servers);
    return json.serialize();
}

std::string statusJson(const dissemination::in_force_answer &force)
{
    const dissemination::cluster_view &view = *force.view;
    std::vector<value> members;
    for (auto it = view.members.begin(); it != view.members.end(); ++it)
        members.push_back(memberJson(view, it->second));
    std::vector<std::string> services;
    for (auto it = view.services.begin(); it != view.services.end(); ++it)
        services.push_back(it->second.name);
    value json = value::object();
    json["generation"] = value::number(view.at.value());
    json["members"] = value::array(members);
    json["services"] = namesJson(services);
    json["evacuated_zones"] = namesJson({view.evacuated.begin(), view.evacuated.end()});
    addLaggards(json, force);
    return json.serialize();
}

std::string whereJson(const dissemination::cluster_view &view, const flow_destination &where)
{
    value json
        = value::object({{"generation", value::number(view.at.value())},
                         {"caller", value::string(where.key.caller.text())},
                         {"address", value::string(where.key.service.text())},
                         {"protocol", value::number(std::uint32_t(where.key.protocol))},
                         {"served", value::boolean(true)},
                         {"services", servicesJson(view, where)},
                         {"other_services_possible", value::boolean(where.mayHaveOtherServices)},
                         {"service", value::string(serviceName(view, where.services.front()))},
                         {"hash_position", value::number(where.split.position)},
                         {"total_weight", value::number(where.split.totalWeight)},
                         {"notes", namesJson(whereNotes)}});
    const routing::route *director = std::get_if<routing::route>(&where.director);
    const routing::route *backup = std::get_if<routing::route>(&where.backup);
    if (director != nullptr && backup != nullptr) {
        json["bucket"] = value::number(where.bucket.value().value());
        json["director"] = agentJson(view, director->to.node);
        json["backup"] = agentJson(view, backup->to.node);
    }
    std::vector<value> restricted;
    for (const routing::restricted_agent &agent : where.restricted)
        restricted.push_back(restrictedJson(view, agent));
    json["restricted_agents"] = value::array(restricted);
    if (where.route)
        json["route"] = routeJson(*where.route);
    return json.serialize();
}

} // namespace lycheeshunt::operators
