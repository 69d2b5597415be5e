#include "lycheeshunt/routing/routing_table.h"

#include "lycheeshunt/routing/internal/directors.h"

#include <algorithm>

namespace lycheeshunt::routing {

namespace internal {

namespace {

using members = std::vector<const membership::member *>;

// The members that pass, or all members if none does.
template <typename predicate>
members filterUnlessEmpty(const members &all, predicate passes)
{
    members kept;
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept), passes);
    return kept.empty() ? all : kept;
}

// Ignores health when more than half of the members are in bad health.
members withoutUnhealthy(const members &all)
{
    const members healthy = filterUnlessEmpty(all, [](const membership::member *each) {
        return each->health == membership::member_health::good;
    });
    return healthy.size() * 2 < all.size() ? all : healthy;
}

} // namespace

std::vector<target> chooseDirectors(const dissemination::cluster_view &view, const members &agents)
{
    const members notDraining = filterUnlessEmpty(
        agents, [&](const membership::member *each) { return !view.isDraining(*each); });
    const members reachable = filterUnlessEmpty(notDraining, [](const membership::member *each) {
        return each->phase != membership::member_phase::suspected;
    });
    std::vector<target> directors;
    for (const membership::member *each : withoutUnhealthy(reachable))
        directors.push_back(target {each->id(), each->incarnation, each->packets, each->share});
    return directors;
}

std::unordered_map<base::service_id, members>
agentsByService(const dissemination::cluster_view &view)
{
    std::unordered_map<base::service_id, members> agents;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        if (it->second.role == membership::member_role::agent)
            agents[it->second.service].push_back(&it->second);
    }
    return agents;
}

} // namespace internal

std::vector<target> directorsOf(const dissemination::cluster_view &view, base::service_id service)
{
    std::vector<const membership::member *> agents;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        if (it->second.role == membership::member_role::agent && it->second.service == service)
            agents.push_back(&it->second);
    }
    return internal::chooseDirectors(view, agents);
}

std::vector<restricted_agent> restrictedAgentsOf(const dissemination::cluster_view &view,
                                                 base::service_id service)
{
    const std::vector<target> directors = directorsOf(view, service);
    std::vector<restricted_agent> restricted;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        const membership::member &agent = it->second;
        if (agent.role != membership::member_role::agent || agent.service != service)
            continue;
        const bool isSuspected = agent.phase == membership::member_phase::suspected;
        const std::pair<restriction, bool> criteria[]
            = {{restriction::drained, view.isDrained(agent)},
               {restriction::evacuated, view.isEvacuated(agent)},
               {restriction::suspected, isSuspected},
               {restriction::badHealth, agent.health == membership::member_health::bad},
               {restriction::coldStart, agent.share < membership::fullShare}};
        std::vector<restriction> restrictions;
        for (const std::pair<restriction, bool> &each : criteria) {
            if (each.second)
                restrictions.push_back(each.first);
        }
        const bool isDirector
            = std::any_of(directors.begin(), directors.end(),
                          [&](const target &director) { return director.node == it->first; });
        const bool mayGetFlows = !view.isDraining(agent) && (isDirector || !isSuspected);
        if (!restrictions.empty())
            restricted.push_back(
                restricted_agent {it->first, std::move(restrictions), isDirector, mayGetFlows});
    }
    return restricted;
}

} // namespace lycheeshunt::routing
