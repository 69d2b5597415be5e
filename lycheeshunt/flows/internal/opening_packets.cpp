#include "lycheeshunt/flows/internal/opening_packets.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// Whether an opening packet arrives after another one of its flow: the flow may be open by now.
bool mayBeOpen(const flow_state &state, const base::flow_key &key)
{
    return state.pendingDeliveries.find(key) != nullptr || state.directory.find(key) != nullptr
        || state.lookups.find(key) != nullptr;
}

// The agent that has registered the flow, which a copy of the opening packet may have opened there.
// Empty if that agent is silent: a new flow of the same key would wait for it in vain.
std::optional<routing::target> openOwner(const flow_state &state, const base::flow_key &key)
{
    const std::optional<routing::target> owner = knownOwner(state, key);
    if (!owner || isSelf(state, owner->node))
        return std::nullopt;
    const auto found = state.view->members.find(owner->node);
    const bool isSilent = found != state.view->members.end()
        && found->second.phase == membership::member_phase::suspected;
    return isSilent ? std::nullopt : owner;
}

} // namespace

void handleOpening(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (packet.service != state.identity->service) {
        context.actions.emplace_back(refuse_packet {base::error_code::wrongService});
        return;
    }
    if (!state.buckets || !state.placement) {
        context.actions.emplace_back(refuse_packet {base::error_code::agentNotReady});
        return;
    }
    // The agent that offers a flow has checked its key.
    if (packet.stage == packet_stage::offer) {
        placeFlow(context, packet);
        return;
    }
    const std::optional<routing::target> owner = openOwner(state, key);
    if (owner) {
        refreshEntry(context, key);
        forwardTo(context, packet.with(packet.stage, packet.agents, true), *owner,
                  packet_stage::toOwner);
        return;
    }
    const pending_delivery *earlier = state.pendingDeliveries.find(key);
    placeFlow(context,
              packet.with(packet.stage, earlier != nullptr ? earlier->packet.agents : packet.agents,
                          packet.isDoubtful || mayBeOpen(state, key)));
}

void offerToOtherAgents(flow_context &context, const forwarded_packet &packet, bool isLate)
{
    std::vector<base::node_id> tried = packet.agents;
    const base::node_id self = context.state.identity->node;
    if (std::find(tried.begin(), tried.end(), self) == tried.end())
        tried.push_back(self);
    if (context.state.placement)
        placeFlow(context,
                  packet.with(packet_stage::offer, std::move(tried), packet.isDoubtful || isLate));
}

} // namespace lycheeshunt::flows::internal
