#include "lycheeshunt/dissemination/cluster_view.h"

#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::dissemination {

cluster_view cluster_view::withTicket(base::generation next, const tickets::ticket &ticket) const
{
    std::map<base::service_id, tickets::service_definition> nextServices = services;
    std::set<std::string> nextDraining = draining;
    for (const tickets::ticket_change &change : ticket.changes) {
        std::visit(base::overloaded {
                       [&](const tickets::service_definition &service) {
                           nextServices.erase(service.id());
                           nextServices.emplace(service.id(), service);
                       },
                       [&](const tickets::service_removal &removal) {
                           nextServices.erase(base::serviceIdOf(removal.name));
                       },
                       [&](const tickets::drain_order &order) {
                           if (order.draining)
                               nextDraining.insert(order.node);
                           else
                               nextDraining.erase(order.node);
                       },
                   },
                   change);
    }
    return cluster_view {next, std::move(nextServices), members, std::move(nextDraining)};
}

cluster_view cluster_view::withBatch(base::generation next,
                                     const membership::membership_batch &batch) const
{
    std::map<base::node_id, membership::member> nextMembers = members;
    for (const membership::member &member : batch.present) {
        nextMembers.erase(member.id());
        nextMembers.emplace(member.id(), member);
    }
    for (const base::node_id &id : batch.gone)
        nextMembers.erase(id);
    return cluster_view {next, services, std::move(nextMembers), draining};
}

} // namespace lycheeshunt::dissemination
