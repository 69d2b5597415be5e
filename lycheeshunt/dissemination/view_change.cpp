#include "lycheeshunt/dissemination/view_change.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/evacuations/evacuation_order.h"
#include "lycheeshunt/states/desired_state.h"

namespace lycheeshunt::dissemination {

namespace {

using service_changes = std::map<base::service_id, std::optional<tickets::service_definition>>;
using member_changes = std::map<base::node_id, member_change>;
using route_changes = std::map<tickets::service_address, std::optional<tickets::address_route>>;

template <typename map_type>
void replace(map_type &map, const typename map_type::key_type &key,
             const typename map_type::mapped_type &value)
{
    map.erase(key);
    map.emplace(key, value);
}

// Adds the names that the change sets and removes the others.
std::set<std::string> setAfter(const std::set<std::string> &names,
                               const std::map<std::string, bool> &changes)
{
    std::set<std::string> next = names;
    for (auto it = changes.begin(); it != changes.end(); ++it) {
        if (it->second)
            next.insert(it->first);
        else
            next.erase(it->first);
    }
    return next;
}

base::service_id previousService(const cluster_view &view, base::node_id id)
{
    const auto found = view.members.find(id);
    return found == view.members.end() ? base::service_id() : found->second.service;
}

} // namespace

view_change view_change::within(const view_scope &scope) const
{
    if (scope.isComplete())
        return *this;
    service_changes ownServices;
    const auto service = services.find(scope.service);
    if (service != services.end())
        ownServices.insert(*service);
    member_changes ownMembers;
    for (auto it = members.begin(); it != members.end(); ++it) {
        const member_change &change = it->second;
        if (change.member && change.member->service == scope.service)
            ownMembers.insert(*it);
        else if (change.previousService == scope.service)
            ownMembers.emplace(it->first, member_change {std::nullopt, change.previousService});
    }
    return view_change {std::move(ownServices), std::move(ownMembers), draining, {}, evacuations};
}

cluster_view view_change::appliedTo(const cluster_view &view, base::generation next) const
{
    std::map<base::service_id, tickets::service_definition> nextServices = view.services;
    for (auto it = services.begin(); it != services.end(); ++it) {
        nextServices.erase(it->first);
        if (it->second)
            nextServices.emplace(it->first, *it->second);
    }
    std::map<base::node_id, membership::member> nextMembers = view.members;
    for (auto it = members.begin(); it != members.end(); ++it) {
        nextMembers.erase(it->first);
        if (it->second.member)
            nextMembers.emplace(it->first, *it->second.member);
    }
    std::map<tickets::service_address, tickets::address_route> nextRoutes = view.routes;
    for (auto it = routes.begin(); it != routes.end(); ++it) {
        nextRoutes.erase(it->first);
        if (it->second)
            nextRoutes.emplace(it->first, *it->second);
    }
    return cluster_view {next,
                         std::move(nextServices),
                         std::move(nextMembers),
                         setAfter(view.draining, draining),
                         std::move(nextRoutes),
                         setAfter(view.evacuated, evacuations)};
}

view_change merged(const std::vector<const view_change *> &changes)
{
    service_changes services;
    member_changes members;
    std::map<std::string, bool> draining;
    std::map<std::string, bool> evacuations;
    route_changes routes;
    for (const view_change *change : changes) {
        for (auto it = change->routes.begin(); it != change->routes.end(); ++it)
            replace(routes, it->first, it->second);
        for (auto it = change->services.begin(); it != change->services.end(); ++it)
            replace(services, it->first, it->second);
        for (auto it = change->members.begin(); it != change->members.end(); ++it) {
            const auto earlier = members.find(it->first);
            const base::service_id before = earlier == members.end()
                ? it->second.previousService
                : earlier->second.previousService;
            replace(members, it->first, member_change {it->second.member, before});
        }
        for (auto it = change->draining.begin(); it != change->draining.end(); ++it)
            draining[it->first] = it->second;
        for (auto it = change->evacuations.begin(); it != change->evacuations.end(); ++it)
            evacuations[it->first] = it->second;
    }
    return view_change {std::move(services), std::move(members), std::move(draining),
                        std::move(routes), std::move(evacuations)};
}

view_change changeOf(const tickets::ticket &ticket)
{
    service_changes services;
    std::map<std::string, bool> draining;
    for (const tickets::ticket_change &change : ticket.changes) {
        std::visit(
            base::overloaded {
                [&](const tickets::service_definition &service) {
                    replace(services, service.id(), std::make_optional(service));
                },
                [&](const tickets::service_removal &removal) {
                    replace(services, base::serviceIdOf(removal.name), std::nullopt);
                },
                [&](const tickets::drain_order &order) { draining[order.node] = order.draining; },
            },
            change);
    }
    return view_change {std::move(services), {}, std::move(draining)};
}

view_change changeOf(const cluster_view &view, const states::desired_state &state)
{
    service_changes services;
    for (auto it = view.services.begin(); it != view.services.end(); ++it)
        services.emplace(it->first, std::nullopt);
    for (const tickets::service_definition &service : state.services) {
        const auto current = view.services.find(service.id());
        services.erase(service.id());
        if (current == view.services.end() || current->second != service)
            services.emplace(service.id(), service);
    }
    route_changes routes;
    for (auto it = view.routes.begin(); it != view.routes.end(); ++it)
        routes.emplace(it->first, std::nullopt);
    for (const tickets::address_route &route : state.routes) {
        const auto current = view.routes.find(route.address);
        routes.erase(route.address);
        if (current == view.routes.end() || current->second != route)
            routes.emplace(route.address, route);
    }
    return view_change {std::move(services), {}, {}, std::move(routes)};
}

view_change changeOf(const cluster_view &view, const membership::membership_batch &batch)
{
    member_changes members;
    for (const membership::member &member : batch.updated)
        replace(members, member.id(), member_change {member, previousService(view, member.id())});
    for (const base::node_id &id : batch.removed)
        replace(members, id, member_change {std::nullopt, previousService(view, id)});
    return view_change {{}, std::move(members), {}};
}

view_change changeOf(const std::vector<evacuations::evacuation_order> &orders)
{
    std::map<std::string, bool> zones;
    for (const evacuations::evacuation_order &order : orders)
        zones[order.zone] = order.isEvacuated;
    return view_change {{}, {}, {}, {}, std::move(zones)};
}

} // namespace lycheeshunt::dissemination
