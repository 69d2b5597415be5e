#include "lycheeshunt/flows/internal/returning.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/lookup.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/placing.h"
#include "lycheeshunt/flows/internal/registrar.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// A server on the same VM answers an opening packet within a millisecond.
constexpr base::clock_time answerWithin = base::clock_time::ofMillis(150);
// A server that left an opening packet unanswered gets no new flow for this long, and then one to
// try it.
constexpr base::clock_time silentFor = base::clock_time::ofMillis(1000);
// A server that gave an opening packet back gets no new flow for this long: it is full or starts,
// and will not take the next packet of the same moment either.
constexpr base::clock_time refusesFor = base::clock_time::ofMillis(100);
// Longer than a caller repeats an opening packet.
constexpr base::clock_time visitKept = base::clock_time::ofSeconds(2);

void note(flow_context &context, flow_event_kind kind, const forwarded_packet &packet,
          std::optional<base::error_code> reason = std::nullopt)
{
    noteEvent(context, kind, packet, base::node_id(), reason);
}

void sendHint(flow_context &context, const forwarded_packet &packet)
{
    const flow_state &state = context.state;
    if (packet.entry.port != 0)
        context.actions.emplace_back(send_to_peer {
            packet.entry,
            owner_hint {state.identity->service, packet.summary.key, selfTarget(state)}});
}

void tellEntry(flow_context &context, const forwarded_packet &packet, bool isDoubtful)
{
    note(context, flow_event_kind::unknown, packet.with(packet.stage, {}, isDoubtful),
         base::error_code::flowUnknown);
    if (packet.entry.port != 0)
        context.actions.emplace_back(
            send_packet {packet.entry, packet.with(packet_stage::unknown, {}, isDoubtful)});
    else if (isDoubtful || packet.summary.opens)
        context.actions.emplace_back(refuse_packet {base::error_code::flowUnknown});
    else
        context.actions.emplace_back(reset_caller {packet.bytes, base::error_code::flowUnknown});
}

// Asks the other agents, here or at the flow's director.
void search(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (const pending_lookup *held = state.lookups.find(key)) {
        addToLookup(context, *held, packet);
        return;
    }
    const routing::target *director = directorOf(state, key);
    if (!state.buckets)
        tellEntry(context, packet, true);
    else if (director == nullptr || packet.service != state.identity->service)
        tellEntry(context, packet, packet.isDoubtful);
    else if (isSelf(state, director->node) || packet.hops > 0) {
        note(context, flow_event_kind::searched, packet);
        startLookup(context, packet, lookup_purpose::find, {});
    } else
        forwardTo(context, packet, *director, packet_stage::declined);
}

// The candidates are tried one after the other; the rest travels with the packet.
void tryNext(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    std::vector<base::node_id> rest = packet.agents;
    while (!rest.empty()) {
        const base::node_id next = rest.front();
        rest.erase(rest.begin());
        if (isSelf(state, next)) {
            adoptReturning(context, packet.with(packet_stage::trial, rest, packet.isDoubtful));
            return;
        }
        if (const std::optional<routing::target> to = targetOf(state, next)) {
            context.actions.emplace_back(send_packet {
                to->packets, packet.with(packet_stage::trial, rest, packet.isDoubtful)});
            return;
        }
    }
    tellEntry(context, packet, packet.isDoubtful);
}

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
    const pending_delivery *earlier = state.pendingDeliveries.find(key);
    if (earlier == nullptr || packet.stage == packet_stage::offer) {
        placeFlow(context, packet);
        return;
    }
    placeFlow(context, packet.with(packet.stage, earlier->packet.agents, packet.isDoubtful));
}

void handleOngoing(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    if (packet.stage == packet_stage::toOwner || packet.stage == packet_stage::trial) {
        adoptReturning(context, packet);
        return;
    }
    if (packet.stage == packet_stage::declined)
        state.directory.erase(key);
    const std::optional<routing::target> owner = knownOwner(state, key);
    if (owner && !isSelf(state, owner->node)) {
        refreshEntry(context, key);
        forwardTo(context, packet, *owner, packet_stage::toOwner);
        return;
    }
    search(context, packet);
}

// The server has given the opening packet back: it takes no new flow now.
void offerElsewhere(flow_context &context, const forwarded_packet &packet)
{
    std::vector<base::node_id> tried = packet.agents;
    const base::node_id self = context.state.identity->node;
    if (std::find(tried.begin(), tried.end(), self) == tried.end())
        tried.push_back(self);
    if (context.state.placement)
        placeFlow(context, packet.with(packet_stage::offer, std::move(tried), packet.isDoubtful));
}

void handleGivenBack(flow_context &context, const server_answer &answer)
{
    flow_state &state = context.state;
    const base::flow_key &key = answer.summary.key;
    const owned_flow *flow = state.owned.find(key);
    const bool wasServed = flow != nullptr && flow->progress.isAnswered;
    const bool isOver = flow != nullptr && flow->phase == flow_phase::ended;
    const pending_delivery *visited = state.pendingDeliveries.find(key);
    const forwarded_packet before
        = visited != nullptr ? visited->packet : forwarded_packet {state.identity->service,
                                                                   state.identity->life,
                                                                   currentGeneration(state),
                                                                   packet_stage::toOwner,
                                                                   0,
                                                                   answer.summary,
                                                                   answer.bytes};
    const forwarded_packet packet {before.service, before.life,      before.at,    before.stage,
                                   before.hops,    answer.summary,   answer.bytes, before.entry,
                                   before.agents,  before.isDoubtful};
    state.pendingDeliveries.erase(key);
    if (flow != nullptr) {
        eraseOwned(state, key);
        registerLater(context, key, false);
    }
    note(context, flow_event_kind::givenBack, packet);
    if (answer.summary.opens) {
        state.server.refusesUntil = context.now + refusesFor;
        offerElsewhere(context, packet);
    } else if (isOver || answer.summary.resets)
        context.actions.emplace_back(refuse_packet {base::error_code::flowUnknown});
    else if (wasServed)
        // It was this server's and is no more: the server has closed it or started again.
        refuseCaller(context, packet, base::error_code::flowUnknown);
    else if (packet.stage == packet_stage::trial)
        tryNext(context, packet);
    else
        search(context, packet);
}

} // namespace

void openReturning(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    // One flow tries a server that was silent; others wait for its outcome.
    if (context.state.server.isSilent)
        context.state.server.silentUntil = context.now + silentFor;
    takeOwnership(context, key, flow_phase::opening);
    note(context, flow_event_kind::opened, packet);
    context.state.pendingDeliveries.put(key, pending_delivery {packet, context.now});
    deliverToServer(context, packet);
    sendHint(context, packet);
}

void adoptReturning(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    if (context.state.owned.find(key) == nullptr) {
        takeOwnership(context, key, flow_phase::open);
        note(context, flow_event_kind::adopted, packet);
    }
    context.state.pendingDeliveries.put(key, pending_delivery {packet, context.now});
    handleOwned(context, owned_flow(*context.state.owned.find(key)), packet);
    if (packet.hops > 0 || packet.stage == packet_stage::trial)
        sendHint(context, packet);
}

void tryCandidates(flow_context &context, const forwarded_packet &packet,
                   const std::vector<base::node_id> &candidates, bool isDoubtful)
{
    const bool doubt = isDoubtful || packet.isDoubtful;
    std::vector<base::node_id> tried = candidates;
    // An agent that has declined the packet has had it given back.
    if (context.state.server.isOlder && packet.stage != packet_stage::declined)
        tried.push_back(context.state.identity->node);
    if (isDoubtful || tried.empty() || packet.summary.resets)
        tellEntry(context, packet, doubt);
    else
        tryNext(context, packet.with(packet_stage::trial, std::move(tried), doubt));
}

void handleReturningPacket(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const base::flow_key &key = packet.summary.key;
    const owned_flow *flow = state.owned.find(key);
    if (flow != nullptr && flow->phase == flow_phase::ended && packet.summary.opens) {
        eraseOwned(state, key);
        flow = nullptr;
    }
    if (flow != nullptr) {
        handleOwned(context, owned_flow(*flow), packet);
        if (packet.hops > 0 || packet.stage != packet_stage::toOwner)
            sendHint(context, packet);
        return;
    }
    if (packet.summary.opens)
        handleOpening(context, packet);
    else if (!state.buckets && state.earlyPackets.put(key, packet, context.now))
        note(context, flow_event_kind::held, packet);
    else
        handleOngoing(context, packet);
}

void returningView(flow_context &context)
{
    if (!context.state.buckets || context.state.earlyPackets.isEmpty())
        return;
    for (const forwarded_packet &packet : context.state.earlyPackets.take(context.now))
        handleReturningPacket(context, packet);
}

void handleReturningAnswer(flow_context &context, const server_answer &answer)
{
    flow_state &state = context.state;
    state.server.lastHeard = context.now;
    state.server.isSilent = false;
    if (answer.summary.isReturned) {
        handleGivenBack(context, answer);
        return;
    }
    const pending_delivery *visited = state.pendingDeliveries.find(answer.summary.key);
    const bool isFound = visited != nullptr && visited->packet.stage == packet_stage::trial;
    if (isFound)
        sendHint(context, forwarded_packet(visited->packet));
    state.pendingDeliveries.erase(answer.summary.key);
    handleAnswer(context, answer);
}

void handleServerChange(flow_context &context, const server_changed &changed)
{
    flow_state &state = context.state;
    const agent_identity &self = *state.identity;
    const bool isOther = self.service != changed.service || self.life != changed.life;
    state.server.isAccepting = changed.isAccepting;
    state.server.slots = changed.slots;
    state.server.isOlder = changed.isOlder;
    if (isOther || !state.placement) {
        state.identity = std::make_shared<const agent_identity>(
            agent_identity {self.node, changed.service, changed.life, self.packets,
                            self.availabilityZone, self.serverReturnsPackets});
        startPlacement(context);
    }
}

void returningTick(flow_context &context)
{
    flow_state &state = context.state;
    std::vector<pending_delivery> unanswered;
    std::vector<base::flow_key> old;
    for (auto it = state.pendingDeliveries.begin(); it != state.pendingDeliveries.end(); ++it) {
        const base::clock_time age = context.now - it->second.at;
        const owned_flow *flow = state.owned.find(it->first);
        const bool waits = it->second.packet.summary.opens && flow != nullptr
            && state.server.lastHeard <= it->second.at;
        if (age >= visitKept)
            old.push_back(it->first);
        else if (waits && age >= answerWithin)
            unanswered.push_back(it->second);
    }
    for (const base::flow_key &key : old)
        state.pendingDeliveries.erase(key);
    for (const pending_delivery &late : unanswered) {
        state.server.isSilent = true;
        state.server.silentUntil = context.now + silentFor;
        note(context, flow_event_kind::serverSilent, late.packet);
        state.pendingDeliveries.erase(late.packet.summary.key);
        eraseOwned(state, late.packet.summary.key);
        registerLater(context, late.packet.summary.key, false);
        offerElsewhere(context, late.packet);
    }
    placementTick(context);
}

} // namespace lycheeshunt::flows::internal
