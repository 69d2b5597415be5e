#include "lycheeshunt/flows/internal/view_change.h"

#include "lycheeshunt/base/planted_fault.h"
#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/opening_limit.h"
#include "lycheeshunt/flows/internal/recovery.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/service_view.h"
#include "lycheeshunt/routing/routing_table.h"

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxFormerDirectors = 4;

bool hasTargets(const std::shared_ptr<const routing::bucket_table> &table)
{
    return table && table->hasTargets();
}

void appendFormerDirector(std::vector<former_director> &former, const former_director &added)
{
    std::vector<former_director> kept;
    const std::size_t first = former.size() >= maxFormerDirectors ? 1 : 0;
    for (std::size_t i = first; i < former.size(); ++i) {
        if (former[i].node != added.node)
            kept.push_back(former[i]);
    }
    kept.push_back(added);
    former.swap(kept);
}

// Records for each bucket the agents that may still regard themselves as its director. The backup
// is one of them: with rendezvous hashing it was the director before the current one joined, even
// when this agent has missed the views in between.
void recordFormerDirectors(flow_state &state, const routing::bucket_table *before,
                           std::uint32_t buckets)
{
    for (std::uint32_t i = 0; i < buckets; ++i) {
        const base::bucket bucket(i);
        const routing::target &director = state.buckets->directorOf(bucket);
        const routing::target *old = before == nullptr ? nullptr : &before->directorOf(bucket);
        if (old != nullptr && old->node == director.node)
            continue;
        std::vector<former_director> &former = state.formerDirectors[bucket];
        const routing::target &backup = state.buckets->backupOf(bucket);
        if (backup.node != director.node)
            appendFormerDirector(former, former_director {backup.node, currentGeneration(state)});
        if (old != nullptr)
            appendFormerDirector(former, former_director {old->node, currentGeneration(state)});
    }
}

// Registers the flow with its director and backup, except with an agent that was one of the two
// before and has not restarted.
void registerMoved(flow_context &context, const routing::bucket_table *before,
                   const base::flow_key &key)
{
    const routing::bucket_table &after = *context.state.buckets;
    const base::bucket bucket = after.bucketOf(base::hashOf(key));
    const auto isSame = [](const routing::target &left, const routing::target &right) {
        return left.node == right.node && left.incarnation == right.incarnation;
    };
    for (const routing::target *to : {&after.directorOf(bucket), &after.backupOf(bucket)}) {
        const bool isRegistered = before != nullptr
            && (isSame(before->directorOf(bucket), *to) || isSame(before->backupOf(bucket), *to));
        if (!isRegistered)
            registerWith(context, *to, key, true, context.now);
    }
}

void removeDepartedPeers(flow_state &state)
{
    std::erase_if(state.peerGenerations, [&state](const auto &peer) {
        return state.view->members.count(peer.first) == 0;
    });
}

} // namespace

void handleView(flow_context &context, const view_update &update)
{
    flow_state &state = context.state;
    const dissemination::cluster_view &view = *update.view;
    if (state.view && view.at <= state.view->at)
        return;
    const auto service = view.services.find(state.identity->service);
    state.view = update.view;
    state.agents = agentsOf(view, state.identity->service);
    removeDepartedPeers(state);
    if (service == view.services.end())
        return;
    const auto self = view.members.find(state.identity->node);
    // Also before the view lists the agent as a member.
    state.isEvacuated = view.evacuated.count(state.identity->availabilityZone) > 0;
#ifdef LYCHEESHUNT_PLANTED_FAULTS
    state.isEvacuated = state.isEvacuated && !base::isFaultPlanted("evacuation_ignored");
#endif
    state.draining
        = state.isEvacuated || (self != view.members.end() && view.isDraining(self->second));
    state.maxOwned = service->second.limits.connections;
    state.openIdleTimeout = service->second.limits.idleTimeout;
    updateWarmupRate(context);
    updatePlacementPeers(context);
    const std::shared_ptr<const routing::bucket_table> before = state.buckets;
    state.buckets = std::make_shared<const routing::bucket_table>(
        service->second.buckets, routing::directorsOf(view, state.identity->service));
    if (hasTargets(state.buckets)) {
        const routing::bucket_table *previous = hasTargets(before) ? before.get() : nullptr;
        recordFormerDirectors(state, previous, service->second.buckets);
        for (auto it = state.owned.begin(); it != state.owned.end(); ++it) {
            if (it->second.isClaimed())
                registerMoved(context, previous, it->first);
        }
    }
    startRecovery(context);
    if (state.identity->serverReturnsPackets)
        handleEarlyPackets(context);
}

void recordPeerGeneration(flow_state &state, base::node_id node, base::generation at)
{
    const auto recorded = state.peerGenerations.find(node);
    if (recorded == state.peerGenerations.end())
        state.peerGenerations.emplace(node, at);
    else if (recorded->second < at)
        recorded->second = at;
}

} // namespace lycheeshunt::flows::internal
