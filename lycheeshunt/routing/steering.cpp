#include "lycheeshunt/routing/steering.h"

#include <algorithm>

namespace lycheeshunt::routing {

namespace {

// A caller repeats its opening packet for less than this; one that comes later opens a new flow.
constexpr base::clock_time openingSpan = base::clock_time::ofMillis(2000);

steering viaDirector(const routing_table &table, const bypassed_agents &bypassed,
                     const packets::ip_summary &packet, base::service_id service)
{
    const routing_outcome outcome
        = table.routeWithin(service, packet.key, bypassed, packet.isRepeated);
    if (const route *way = std::get_if<route>(&outcome))
        return steer_to {*way};
    return drop_packet {base::error_code::noServer};
}

// The first of these services that has an agent.
steering firstOf(const routing_table &table, const bypassed_agents &bypassed,
                 const packets::ip_summary &packet, const std::vector<base::service_id> &services,
                 std::size_t from)
{
    for (std::size_t i = from; i < services.size(); ++i) {
        const steering way = viaDirector(table, bypassed, packet, services[i]);
        if (std::holds_alternative<steer_to>(way))
            return way;
    }
    return drop_packet {base::error_code::noServer};
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
    const bool isNew = packet.opens && hint != nullptr && now - hint->at >= openingSpan;
    if (hint != nullptr && !isNew)
        return steer_to {route {hint->service, table.at(), hint->owner},
                         flows::packet_stage::toOwner};
    const std::vector<base::service_id> services = table.servicesFor(packet.key);
    if (!packet.opens)
        return firstOf(table, bypassed, packet, services, 0);
    // Former services get no new flows.
    const steering way = viaDirector(table, bypassed, packet, services.front());
    if (std::holds_alternative<steer_to>(way))
        return way;
    return refuse_caller {base::error_code::noServer};
}

steering steerAfterUnknown(const routing_table &table, const bypassed_agents &bypassed,
                           flow_hints &hints, const packets::ip_summary &packet,
                           base::service_id unknownTo, bool isDoubtful)
{
    const std::vector<base::service_id> services = table.servicesFor(packet.key);
    const bool wasHinted = hints.find(packet.key) != nullptr;
    hints.erase(packet.key);
    if (services.empty())
        return drop_packet {base::error_code::noSuchAddress};
    const auto asked = std::find(services.begin(), services.end(), unknownTo);
    const std::size_t next = wasHinted || asked == services.end()
        ? 0
        : static_cast<std::size_t>(asked - services.begin()) + 1;
    const steering way = firstOf(table, bypassed, packet, services, next);
    if (std::holds_alternative<steer_to>(way))
        return way;
    if (isDoubtful)
        return drop_packet {base::error_code::flowUnknown};
    return refuse_caller {base::error_code::flowUnknown};
}

} // namespace lycheeshunt::routing
