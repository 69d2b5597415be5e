#include "lycheeshunt/dissemination/snapshot.h"

#include "lycheeshunt/dissemination/cluster_view.h"

namespace lycheeshunt::dissemination {

namespace {

// Collects objects until the piece is full.
struct collector
{
    std::map<base::service_id, std::optional<tickets::service_definition>> services = {};
    std::map<base::node_id, member_change> members = {};
    std::map<std::string, bool> draining = {};

    std::map<tickets::service_address, std::optional<tickets::address_route>> routes = {};
    std::map<std::string, bool> evacuations = {};

    std::size_t size() const
    {
        return services.size() + members.size() + draining.size() + routes.size()
            + evacuations.size();
    }
    bool isFull() const { return size() >= snapshotPieceObjects; }

    snapshot_part upTo(const snapshot_cursor &next)
    {
        return snapshot_part {view_change {std::move(services), std::move(members),
                                           std::move(draining), std::move(routes),
                                           std::move(evacuations)},
                              next};
    }
};

std::optional<snapshot_cursor> collectServices(const cluster_view &view, const view_scope &scope,
                                               std::uint64_t after, collector &collected)
{
    const base::service_id first = scope.isComplete() ? base::service_id(after) : scope.service;
    auto it = scope.isComplete() ? view.services.upper_bound(first) : view.services.find(first);
    for (; it != view.services.end() && scope.covers(it->first); ++it) {
        if (collected.isFull())
            return snapshot_cursor {snapshot_section::services,
                                    collected.services.rbegin()->first.value()};
        collected.services.emplace(it->first, it->second);
    }
    return std::nullopt;
}

std::optional<snapshot_cursor> collectMembers(const cluster_view &view, const view_scope &scope,
                                              std::uint64_t after, collector &collected)
{
    std::uint64_t last = after;
    for (auto it = view.members.upper_bound(base::node_id(after)); it != view.members.end(); ++it) {
        if (!scope.covers(it->second.service))
            continue;
        if (collected.isFull())
            return snapshot_cursor {snapshot_section::members, last};
        collected.members.emplace(it->first, member_change {it->second, base::service_id()});
        last = it->first.value();
    }
    return std::nullopt;
}

// Encodes an address as a number that sorts like the address.
std::uint64_t keyOf(const tickets::service_address &address)
{
    constexpr int portBits = 16;
    constexpr int protocolBits = 8;
    return (std::uint64_t(address.where.address) << (portBits + protocolBits))
        | (std::uint64_t(address.where.port) << protocolBits) | address.protocol;
}

std::optional<snapshot_cursor> collectRoutes(const cluster_view &view, const view_scope &scope,
                                             std::uint64_t after, collector &collected)
{
    if (!scope.isComplete())
        return std::nullopt;
    std::uint64_t last = after;
    for (auto it = view.routes.begin(); it != view.routes.end(); ++it) {
        if (keyOf(it->first) <= after)
            continue;
        if (collected.isFull())
            return snapshot_cursor {snapshot_section::routes, last};
        collected.routes.emplace(it->first, it->second);
        last = keyOf(it->first);
    }
    return std::nullopt;
}

std::optional<snapshot_cursor> collectDraining(const cluster_view &view, const std::string &after,
                                               collector &collected)
{
    std::string last = after;
    for (auto it = view.draining.upper_bound(after); it != view.draining.end(); ++it) {
        if (collected.isFull())
            return snapshot_cursor {snapshot_section::draining, 0, last};
        collected.draining.emplace(*it, true);
        last = *it;
    }
    return std::nullopt;
}

std::optional<snapshot_cursor> collectEvacuated(const cluster_view &view, const std::string &after,
                                                collector &collected)
{
    std::string last = after;
    for (auto it = view.evacuated.upper_bound(after); it != view.evacuated.end(); ++it) {
        if (collected.isFull())
            return snapshot_cursor {snapshot_section::evacuated, 0, last};
        collected.evacuations.emplace(*it, true);
        last = *it;
    }
    return std::nullopt;
}

} // namespace

snapshot_part partAfter(const cluster_view &view, const view_scope &scope,
                        const snapshot_cursor &cursor)
{
    collector collected;
    std::optional<snapshot_cursor> stopped;
    if (cursor.section == snapshot_section::services)
        stopped.emplace(collectServices(view, scope, cursor.key, collected)
                            .value_or(snapshot_cursor {snapshot_section::members}));
    if (stopped && stopped->section == snapshot_section::services)
        return collected.upTo(*stopped);
    const bool isInMembers = cursor.section == snapshot_section::members;
    if (stopped || isInMembers) {
        const std::optional<snapshot_cursor> full
            = collectMembers(view, scope, isInMembers ? cursor.key : 0, collected);
        if (full)
            return collected.upTo(*full);
    }
    const bool isInRoutes = cursor.section == snapshot_section::routes;
    const bool isInEvacuated = cursor.section == snapshot_section::evacuated;
    if (!isInRoutes && !isInEvacuated) {
        const std::optional<snapshot_cursor> full = collectDraining(
            view, cursor.section == snapshot_section::draining ? cursor.name : "", collected);
        if (full)
            return collected.upTo(*full);
    }
    if (!isInEvacuated) {
        const std::optional<snapshot_cursor> full
            = collectRoutes(view, scope, isInRoutes ? cursor.key : 0, collected);
        if (full)
            return collected.upTo(*full);
    }
    const std::optional<snapshot_cursor> full
        = collectEvacuated(view, isInEvacuated ? cursor.name : "", collected);
    return collected.upTo(full.value_or(snapshot_cursor {snapshot_section::end}));
}

cluster_view restrictedTo(const cluster_view &view, const view_scope &scope)
{
    std::map<base::service_id, tickets::service_definition> services;
    std::map<base::node_id, membership::member> members;
    for (auto it = view.services.begin(); it != view.services.end(); ++it) {
        if (scope.covers(it->first))
            services.insert(*it);
    }
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        if (scope.covers(it->second.service))
            members.insert(*it);
    }
    std::map<tickets::service_address, tickets::address_route> routes;
    if (scope.isComplete())
        routes = view.routes;
    return cluster_view {view.at,       std::move(services), std::move(members),
                         view.draining, std::move(routes),   view.evacuated};
}

} // namespace lycheeshunt::dissemination
