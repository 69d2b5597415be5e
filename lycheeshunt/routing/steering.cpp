#include "lycheeshunt/routing/steering.h"

#include <algorithm>

namespace lycheeshunt::routing {

namespace {

// Callers retransmit their opening packet for less than this period; a later one opens a new flow.
constexpr base::clock_time openingRetransmitPeriod = base::clock_time::ofMillis(2000);

steering viaDirector(const routing_table &table, const bypassed_agents &bypassed,
                     const packets::ip_summary &packet, base::service_id service)
{
    const routing_outcome outcome
        = table.routeWithin(service, packet.key, bypassed, packet.isRepeated);
    if (const route *found = std::get_if<route>(&outcome))
        return steer_to {*found};
    return drop_packet {base::error_code::noServer};
}

// Steers the packet to the first service, from this index on, that has an agent.
steering steerToFirst(const routing_table &table, const bypassed_agents &bypassed,
                      const packets::ip_summary &packet,
                      const std::vector<base::service_id> &services, std::size_t from)
{
    for (std::size_t i = from; i < services.size(); ++i) {
        const steering decision = viaDirector(table, bypassed, packet, services[i]);
        if (std::holds_alternative<steer_to>(decision))
            return decision;
    }
    return drop_packet {base::error_code::noServer};
}

// Whether every service that may have the flow is listed and has an agent that a packet can be sent
// to.
bool canQueryAll(const routing_table &table, const bypassed_agents &bypassed,
                 const packets::ip_summary &packet, const std::vector<base::service_id> &services)
{
    if (table.mayHaveOtherServices(packet.key))
        return false;
    return std::all_of(services.begin(), services.end(), [&](base::service_id service) {
        return std::holds_alternative<steer_to>(viaDirector(table, bypassed, packet, service));
    });
}

} // namespace

steering steer(const routing_table &table, const bypassed_agents &bypassed, flow_hints &hints,
               const packets::ip_summary &packet, base::clock_time now)
{
    if (!table.serves(packet.key)) {
        hints.erase(packet.key);
        if (packet.opens)
            return refuse_caller {base::error_code::noSuchAddress};
        return drop_packet {base::error_code::noSuchAddress};
    }
    const flow_hint *hint = hints.find(packet.key);
    const bool isNew = packet.opens && hint != nullptr && now - hint->at >= openingRetransmitPeriod;
    // A hint skips the services that a search would ask first, so that no search which begins there
    // is complete.
    if (hint != nullptr && !isNew)
        return steer_to {route {hint->service, table.at(), hint->owner},
                         flows::packet_stage::toOwner,
                         !packet.opens && table.hasSeveralServices(packet.key)};
    const std::vector<base::service_id> services = table.servicesFor(packet.key);
    if (!packet.opens)
        return steerToFirst(table, bypassed, packet, services, 0);
    // A new flow goes only to the service that the address's weights choose, never to a former one.
    const steering decision = viaDirector(table, bypassed, packet, services.front());
    if (std::holds_alternative<steer_to>(decision))
        return decision;
    return refuse_caller {base::error_code::noServer};
}

void takeOpeningHint(flow_hints &hints, const base::flow_key &key, const flow_hint &hint)
{
    const flow_hint *earlier = hints.find(key);
    const bool isSecond = earlier != nullptr && earlier->owner.node != hint.owner.node
        && hint.at - earlier->at < openingRetransmitPeriod;
    if (!isSecond)
        hints.put(key, hint);
}

void withdrawHint(flow_hints &hints, const base::flow_key &key, base::node_id node)
{
    const flow_hint *hint = hints.find(key);
    if (hint != nullptr && hint->owner.node == node)
        hints.erase(key);
}

steering steerToNextService(const routing_table &table, const bypassed_agents &bypassed,
                            flow_hints &hints, const packets::ip_summary &packet,
                            const searched_service &searched)
{
    const std::vector<base::service_id> services = table.servicesFor(packet.key);
    const bool wasHinted = hints.find(packet.key) != nullptr;
    hints.erase(packet.key);
    if (services.empty())
        return drop_packet {base::error_code::noSuchAddress};
    const auto queried = std::find(services.begin(), services.end(), searched.service);
    const std::size_t next = wasHinted || queried == services.end()
        ? 0
        : static_cast<std::size_t>(queried - services.begin()) + 1;
    // With another view, other services may have been left out of the search. A search that starts
    // anew asks all of them again.
    const bool isDoubtful = !wasHinted && (searched.isDoubtful || searched.at != table.at());
    const steering decision = steerToFirst(table, bypassed, packet, services, next);
    if (const steer_to *to = std::get_if<steer_to>(&decision))
        return steer_to {to->destination, to->stage, isDoubtful};
    if (isDoubtful || !canQueryAll(table, bypassed, packet, services))
        return drop_packet {base::error_code::flowUnknown};
    return refuse_caller {base::error_code::flowUnknown};
}

} // namespace lycheeshunt::routing
