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

// Whether an entry has sent this copy because the first one was not answered in time. Callers' own
// copies are repeated, and the opening packets that agents forward are at another stage.
bool isHedged(const forwarded_packet &packet)
{
    return packet.summary.opens && packet.isDoubtful && !packet.summary.isRepeated
        && packet.stage == packet_stage::toDirector;
}

// The agents that are not offered the flow. The server of a registered owner has not answered the
// first copy in time, so a hedged one is better placed elsewhere.
std::vector<base::node_id> triedAgents(const flow_state &state, const forwarded_packet &packet,
                                       const std::optional<routing::target> &owner)
{
    const pending_delivery *earlier = state.pendingDeliveries.find(packet.summary.key);
    std::vector<base::node_id> tried = earlier != nullptr ? earlier->packet.agents : packet.agents;
    const bool isListed
        = owner && std::find(tried.begin(), tried.end(), owner->node) != tried.end();
    if (owner && !isListed)
        tried.push_back(owner->node);
    return tried;
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
    std::vector<base::node_id> tried = triedAgents(state, packet, owner);
    if (owner && !(isHedged(packet) && hasRoomBesides(context, tried))) {
        refreshEntry(context, key);
        forwardTo(context, packet.with(packet.stage, packet.agents, true), *owner,
                  packet_stage::toOwner);
        return;
    }
    // Nothing is claimed here while the flow may be open elsewhere, so the owner's registration
    // stays until its agent ends it.
    placeFlow(
        context,
        packet.with(packet.stage, std::move(tried), packet.isDoubtful || mayBeOpen(state, key)));
}

bool offerHedgedElsewhere(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    const pending_delivery *unanswered = state.pendingDeliveries.find(key);
    if (!isHedged(packet) || unanswered == nullptr || !unanswered->packet.summary.opens
        || !hasRoomBesides(context, {state.identity->node}))
        return false;
    // This agent's own time-out still runs from its delivery.
    const pending_delivery delivered = *unanswered;
    offerToOtherAgents(context, packet, true);
    state.pendingDeliveries.put(key, delivered);
    return true;
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
