#include "lycheeshunt/flows/internal/returned_packets.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/lookup.h"
#include "lycheeshunt/flows/internal/opening_limit.h"
#include "lycheeshunt/flows/internal/opening_packets.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/server_trials.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

namespace {

// A server that returned an opening packet gets no new flows for this long. It is full or still
// starting, so it would also return the next opening packet.
constexpr base::clock_time returnBackoff = base::clock_time::ofMillis(100);
// An agent that the director has forwarded a packet to sends it back to the director; after more
// hops the agent searches itself.
constexpr std::uint8_t maxHopsToDirector = 2;
void record(flow_context &context, flow_event_kind kind, const forwarded_packet &packet,
            std::optional<base::error_code> reason = std::nullopt, std::size_t agents = 0)
{
    recordEvent(context, kind, packet, base::node_id(), reason, agents);
}

void withdrawHint(flow_context &context, const forwarded_packet &packet)
{
    const agent_identity &self = *context.state.identity;
    if (packet.entry.port != 0 && packet.stage == packet_stage::toOwner && packet.hops == 0)
        context.actions.emplace_back(send_to_peer {
            packet.entry, hint_withdrawn {self.service, packet.summary.key, self.node}});
}

// Queries the other agents for the flow's owner, or forwards the packet to the flow's director,
// which does so. One agent searches for a flow, so that no server gets two of its packets.
void lookUpOwner(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (const pending_lookup *lookup = state.lookups.find(key)) {
        addToLookup(context, *lookup, packet);
        return;
    }
    const routing::target *director = directorOf(state, key);
    // An entry sends its packets to the acting director. A packet that the director has forwarded
    // is sent back to it once.
    const bool isActingDirector = packet.stage == packet_stage::toDirector;
    if (!state.buckets)
        notifyEntry(context, packet, true, base::error_code::agentNotReady);
    else if (packet.service != state.identity->service)
        notifyEntry(context, packet, true, base::error_code::wrongService);
    else if (director == nullptr)
        notifyEntry(context, packet, true, base::error_code::noServer);
    else if (isSelf(state, director->node) || isActingDirector
             || packet.hops >= maxHopsToDirector) {
        if (isOnTrial(context, key)) {
            context.actions.emplace_back(refuse_packet {base::error_code::tooManyLookups});
            return;
        }
        record(context, flow_event_kind::searched, packet);
        if (packet.stage == packet_stage::declined)
            excludeAgents(context, key, packet.agents);
        startLookup(context, packet, lookup_purpose::find, {});
    } else
        forwardTo(context, packet, *director, packet_stage::declined);
}

// The server of the agent that is listed in the packet has returned it. An agent before this list
// lists none; then it is the one that was taken for the owner.
void takeDecline(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    const directory_entry *entry = state.directory.find(key);
    const bool isEntryWrong
        = entry != nullptr && (packet.agents.empty() || packet.agents.front() == entry->owner.node);
    std::vector<base::node_id> returned = packet.agents;
    if (isEntryWrong && returned.empty())
        returned.push_back(entry->owner.node);
    excludeAgents(context, key, returned);
    if (isEntryWrong)
        state.directory.erase(key);
}

void handleOngoing(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    const bool isTrialOver
        = packet.stage == packet_stage::trial && packet.agents.empty() && hasTrial(state, key);
    if (isTrialOver) {
        tryNextCandidate(context, packet);
        return;
    }
    if (packet.stage == packet_stage::toOwner || packet.stage == packet_stage::trial) {
        adoptTentatively(context, packet);
        return;
    }
    if (packet.stage == packet_stage::declined)
        takeDecline(context, packet);
    const std::optional<routing::target> owner = knownOwner(state, key);
    if (owner && !isSelf(state, owner->node)) {
        refreshEntry(context, key);
        forwardTo(context, packet, *owner, packet_stage::toOwner);
        return;
    }
    lookUpOwner(context, packet);
}

// A cold server may not get the repeated opening packet of a flow that it has got already. Its
// answer to the first one may have been lost, so another server may answer the caller.
void passOnRepeatedOpening(flow_context &context, const owned_flow &flow,
                           const forwarded_packet &packet)
{
    if (flow.phase == flow_phase::opening || flow.phase == flow_phase::copied)
        offerToOtherAgents(context, packet, true);
    else
        context.actions.emplace_back(refuse_packet {base::error_code::flowUnknown});
}

// The returned packet with what is known of its delivery. A packet whose delivery is not known is
// doubtful, and is reported to no entry.
forwarded_packet asDelivered(const flow_state &state, const server_answer &answer)
{
    const pending_delivery *delivery = state.pendingDeliveries.find(answer.summary.key);
    if (delivery == nullptr)
        return forwarded_packet {state.identity->service,
                                 state.identity->incarnation,
                                 currentGeneration(state),
                                 packet_stage::toOwner,
                                 0,
                                 answer.summary,
                                 answer.bytes,
                                 {},
                                 {},
                                 true};
    const forwarded_packet &sent = delivery->packet;
    return forwarded_packet {sent.service, sent.incarnation, sent.at,          sent.stage,
                             sent.hops,    answer.summary,   answer.bytes,     sent.entry,
                             sent.agents,  sent.isDoubtful,  sent.requestClass};
}

void handleReturnedPacket(flow_context &context, const server_answer &answer)
{
    flow_state &state = context.state;
    const base::flow_key &key = answer.summary.key;
    const owned_flow *flow = state.owned.find(key);
    const bool wasAnswered = flow != nullptr && flow->progress.hasAnsweredStreamOf(answer.summary);
    const bool isEnded = flow != nullptr && flow->phase == flow_phase::ended;
    const bool isOpen = flow != nullptr && flow->phase != flow_phase::opening && !isEnded;
    const forwarded_packet packet = asDelivered(state, answer);
    state.pendingDeliveries.erase(key);
    const bool isClaimed = flow != nullptr && flow->isClaimed();
    if (flow != nullptr)
        eraseOwned(state, key);
    if (isClaimed)
        registerLater(context, key, false);
    record(context, flow_event_kind::givenBack, packet);
    if (answer.summary.opens) {
        state.server.refusesUntil = context.now + returnBackoff;
        offerToOtherAgents(context, packet, isOpen);
    } else if (isEnded || answer.summary.resets)
        context.actions.emplace_back(refuse_packet {base::error_code::flowUnknown});
    else if (wasAnswered)
        // The server has answered on this flow before, so it has closed it or restarted.
        refuseCaller(context, packet, base::error_code::flowUnknown);
    else if (packet.stage == packet_stage::trial)
        tryNextCandidate(context, packet);
    else {
        withdrawHint(context, packet);
        lookUpOwner(context,
                    packet.with(packet_stage::declined, {state.identity->node}, packet.isDoubtful));
    }
}

} // namespace

void sendHint(flow_context &context, const forwarded_packet &packet)
{
    const flow_state &state = context.state;
    const base::service_id service = state.identity->service;
    const base::flow_key &key = packet.summary.key;
    if (packet.entry.port == 0)
        return;
    if (packet.summary.opens)
        context.actions.emplace_back(
            send_to_peer {packet.entry, opening_hint {service, key, selfTarget(state)}});
    else
        context.actions.emplace_back(
            send_to_peer {packet.entry, owner_hint {service, key, selfTarget(state)}});
}

void openTentatively(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    // A server that was silent is probed by one flow at a time, so each flow restarts the backoff.
    if (context.state.server.isSilent)
        context.state.server.silentUntil = context.now + silentServerBackoff;
    forgetSearch(context.state, key);
    // Another agent may have opened the flow with an earlier copy, so nothing is claimed yet.
    if (packet.summary.isRepeated || packet.isDoubtful)
        putOwned(context.state, key,
                 owned_flow {context.now, context.now + refreshInterval, flow_phase::copied});
    else
        takeOwnership(context, key, flow_phase::opening);
    record(context, flow_event_kind::opened, packet);
    context.state.pendingDeliveries.put(key, pending_delivery {packet, context.now});
    takeOpeningToken(context);
    deliverToServer(context, packet);
}

void adoptTentatively(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    const owned_flow *flow = context.state.owned.find(key);
    if (flow == nullptr || flow->phase == flow_phase::copied) {
        tryFlow(context, key);
        record(context, flow_event_kind::adopted, packet);
    }
    context.state.pendingDeliveries.put(key, pending_delivery {packet, context.now});
    handleOwned(context, owned_flow(*context.state.owned.find(key)), packet);
}

void handleReturnablePacket(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    const owned_flow *flow = state.owned.find(key);
    if (flow != nullptr && flow->phase == flow_phase::ended && packet.summary.opens) {
        eraseOwned(state, key);
        flow = nullptr;
    }
    const bool isCopied = flow != nullptr && flow->phase == flow_phase::copied;
    const bool isTried = flow != nullptr
        && (flow->phase == flow_phase::tried || (isCopied && !packet.summary.opens));
    if (isTried && packet.summary.opens && state.pendingDeliveries.find(key) != nullptr) {
        // Packets of the open flow have come already, so this one is late.
        context.actions.emplace_back(refuse_packet {base::error_code::flowUnknown});
        return;
    }
    if (flow != nullptr && packet.summary.opens && state.isEvacuated) {
        // A late copy, or a new flow of a caller that uses its port again: no opening packet goes
        // to the server of an evacuated zone, and the flow that it has stays there.
        handleOpening(context, packet.with(packet.stage, packet.agents, true));
        return;
    }
    if (flow != nullptr && !isTried) {
        if (offerHedgedElsewhere(context, packet))
            return;
        const bool hasToken = hasOpeningToken(state, context.now);
        const bool mayExceed
            = mayExceedLimit(state) && !hasRoomBesides(context, {state.identity->node});
        if (packet.summary.opens && !hasToken && !mayExceed) {
            passOnRepeatedOpening(context, *flow, packet);
            return;
        }
        if (packet.summary.opens)
            takeOpeningToken(context);
        // If the caller uses another server that got a copy of the opening packet, this server
        // returns the first payload, and the hint would have to be withdrawn from an entry that is
        // not known any more. A server that is silent since then may return it or lose it.
        const bool isKept = flow->phase != flow_phase::opening && flow->progress.hasSent
            && state.server.lastHeard >= flow->lastPacket;
        handleOwned(context, owned_flow(*flow), packet);
        if (isKept && !packet.summary.opens
            && (packet.hops > 0 || packet.stage != packet_stage::toOwner))
            sendHint(context, packet);
        return;
    }
    if (packet.summary.opens)
        handleOpening(context, packet);
    else if (!state.buckets && state.earlyPackets.put(key, packet, context.now))
        record(context, flow_event_kind::held, packet);
    else
        handleOngoing(context, packet);
}

void handleEarlyPackets(flow_context &context)
{
    if (!context.state.buckets || context.state.earlyPackets.isEmpty())
        return;
    for (const forwarded_packet &packet : context.state.earlyPackets.take(context.now))
        handleReturnablePacket(context, packet);
}

void handleServerPacket(flow_context &context, const server_answer &answer)
{
    flow_state &state = context.state;
    state.server.lastHeard = context.now;
    state.server.isSilent = false;
    if (answer.summary.isReturned) {
        handleReturnedPacket(context, answer);
        return;
    }
    const pending_delivery *delivery = state.pendingDeliveries.find(answer.summary.key);
    const owned_flow *flow = state.owned.find(answer.summary.key);
    const bool isFound = delivery != nullptr && flow != nullptr
        && (flow->phase == flow_phase::tried || delivery->packet.summary.opens);
    if (isFound)
        sendHint(context, forwarded_packet(delivery->packet));
    state.pendingDeliveries.erase(answer.summary.key);
    handleAnswer(context, answer);
}

void handleServerChange(flow_context &context, const server_changed &changed)
{
    flow_state &state = context.state;
    const agent_identity &self = *state.identity;
    const bool isNewServer = self.incarnation != changed.incarnation;
    state.server.isAccepting = changed.isAccepting;
    state.server.slots = changed.slots;
    state.server.isOlder = changed.isOlder;
    if (isNewServer || !state.placement) {
        state.identity = std::make_shared<const agent_identity>(agent_identity {
            self.node, self.service, changed.incarnation, self.packets, self.availabilityZone,
            self.serverReturnsPackets, self.warmupSlack, self.reportsSpeed, self.reportsFailures});
        updateWarmupRate(context);
        state.serviceTime = placement::service_time {};
        state.outcomes = placement::server_evidence {};
        startPlacement(context);
    }
}

} // namespace lycheeshunt::flows::internal
