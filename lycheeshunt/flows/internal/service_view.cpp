#include "lycheeshunt/flows/internal/service_view.h"

#include "lycheeshunt/base/planted_fault.h"
#include <algorithm>

namespace lycheeshunt::flows::internal {

routing::target selfTarget(const flow_state &state)
{
    return routing::target {state.identity->node, state.identity->incarnation,
                            state.identity->packets};
}

base::generation currentGeneration(const flow_state &state)
{
    return state.view ? state.view->at : base::generation();
}

bool servesAddress(const flow_state &state, const base::flow_key &key)
{
#ifdef LYCHEESHUNT_PLANTED_FAULTS
    // Without this check the agent serves what an entry misroutes.
    if (base::isFaultPlanted("flow_misrouted"))
        return true;
#endif
    if (!state.view)
        return false;
    const auto service = state.view->services.find(state.identity->service);
    if (service == state.view->services.end())
        return false;
    // A service without addresses of its own shares addresses with other services; the entries
    // split the flows between them.
    const std::vector<tickets::service_address> &addresses = service->second.addresses;
    if (addresses.empty() && state.identity->serverReturnsPackets)
        return true;
    const tickets::service_address wanted {key.service, key.protocol};
    return std::find(addresses.begin(), addresses.end(), wanted) != addresses.end();
}

bool isAheadOf(const flow_state &state, const forwarded_packet &packet)
{
    return !packet.summary.opens && packet.at < currentGeneration(state);
}

std::optional<routing::target> targetOf(const flow_state &state, base::node_id node)
{
    if (!state.view)
        return std::nullopt;
    const auto found = state.view->members.find(node);
    if (found == state.view->members.end())
        return std::nullopt;
    const membership::member &member = found->second;
    if (member.role != membership::member_role::agent || member.service != state.identity->service)
        return std::nullopt;
    return routing::target {node, member.incarnation, member.packets};
}

const routing::target *directorOf(const flow_state &state, const base::flow_key &key)
{
    if (!state.buckets || !state.buckets->hasTargets())
        return nullptr;
    return &state.buckets->directorOf(state.buckets->bucketOf(base::hashOf(key)));
}

const routing::target *backupOf(const flow_state &state, const base::flow_key &key)
{
    if (!state.buckets || !state.buckets->hasTargets())
        return nullptr;
    return &state.buckets->backupOf(state.buckets->bucketOf(base::hashOf(key)));
}

std::vector<routing::target> agentsOf(const dissemination::cluster_view &view,
                                      base::service_id service)
{
    std::vector<routing::target> agents;
    for (auto it = view.members.begin(); it != view.members.end(); ++it) {
        const membership::member &member = it->second;
        if (member.role == membership::member_role::agent && member.service == service)
            agents.push_back(routing::target {it->first, member.incarnation, member.packets});
    }
    return agents;
}

std::vector<routing::target> otherAgents(const flow_state &state)
{
    std::vector<routing::target> others;
    for (const routing::target &agent : state.agents) {
        if (!isSelf(state, agent.node))
            others.push_back(agent);
    }
    return others;
}

std::vector<base::node_id> agentsNearDirector(const flow_state &state, const base::flow_key &key)
{
    const std::size_t count = state.agents.size();
    const routing::target *director = directorOf(state, key);
    const base::node_id centre = director != nullptr ? director->node : state.identity->node;
    const auto found = std::lower_bound(
        state.agents.begin(), state.agents.end(), centre,
        [](const routing::target &agent, base::node_id node) { return agent.node < node; });
    const std::size_t start = static_cast<std::size_t>(found - state.agents.begin());
    std::vector<base::node_id> near;
    near.reserve(count);
    // Alternates between both sides of the ring: 0, 1, -1, 2, -2 and so on.
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t distance = (i + 1) / 2;
        const std::size_t position
            = i % 2 == 1 ? start + distance : start + count - distance % count;
        const base::node_id node = state.agents[position % count].node;
        if (!isSelf(state, node))
            near.push_back(node);
    }
    return near;
}

namespace {

const std::vector<former_director> *formerOf(const flow_state &state, const base::flow_key &key)
{
    if (!state.buckets || !state.buckets->hasTargets())
        return nullptr;
    const auto found = state.formerDirectors.find(state.buckets->bucketOf(base::hashOf(key)));
    return found == state.formerDirectors.end() ? nullptr : &found->second;
}

} // namespace

std::vector<base::node_id> formerDirectorsOf(const flow_state &state, const base::flow_key &key)
{
    std::vector<base::node_id> nodes;
    const std::vector<former_director> *former = formerOf(state, key);
    if (former == nullptr)
        return nodes;
    for (auto it = former->rbegin(); it != former->rend(); ++it) {
        const bool repeated = std::find(nodes.begin(), nodes.end(), it->node) != nodes.end();
        if (!repeated && !isSelf(state, it->node) && targetOf(state, it->node))
            nodes.push_back(it->node);
    }
    return nodes;
}

std::vector<base::node_id> unsettledDirectorsOf(const flow_state &state, const base::flow_key &key)
{
    std::vector<base::node_id> nodes;
    const std::vector<former_director> *former = formerOf(state, key);
    if (former == nullptr)
        return nodes;
    for (const former_director &candidate : *former) {
        const auto reached = state.peerGenerations.find(candidate.node);
        const bool settled
            = reached != state.peerGenerations.end() && reached->second >= candidate.until;
        const bool repeated = std::find(nodes.begin(), nodes.end(), candidate.node) != nodes.end();
        if (!settled && !repeated && !isSelf(state, candidate.node)
            && targetOf(state, candidate.node))
            nodes.push_back(candidate.node);
    }
    return nodes;
}

} // namespace lycheeshunt::flows::internal
