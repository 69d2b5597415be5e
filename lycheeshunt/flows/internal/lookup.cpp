#include "lycheeshunt/flows/internal/lookup.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/packet_path.h"
#include "lycheeshunt/flows/internal/recovery.h"
#include "lycheeshunt/flows/internal/returning.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxHeldFlows = 512;
constexpr std::size_t maxPacketsOfFlow = 4;
constexpr std::size_t maxHeldBytes = 512 * 1024;
// Agents that are silent this long are taken for dead when a flow is to be opened.
constexpr base::clock_time openHold = base::clock_time::ofMillis(400);
// Longer than owners take to register their flows after a change.
constexpr base::clock_time findHold = base::clock_time::ofSeconds(2);
constexpr base::clock_time askEvery = base::clock_time::ofMillis(150);
constexpr std::size_t askedInRound = 16;
constexpr std::size_t maxAsked = 64;

bool contains(const std::vector<base::node_id> &nodes, base::node_id node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

std::size_t bytesOf(const pending_lookup &held)
{
    std::size_t bytes = 0;
    for (const forwarded_packet &packet : held.packets)
        bytes += packet.bytes.view().size();
    return bytes;
}

void ask(flow_context &context, const base::flow_key &key, const pending_lookup &held)
{
    const flow_state &state = context.state;
    for (const base::node_id node : held.waitingFor) {
        const std::optional<routing::target> to = targetOf(state, node);
        if (to)
            context.actions.emplace_back(send_to_peer {
                to->packets,
                flow_lookup {state.identity->service, key, selfTarget(state),
                             currentGeneration(state), held.purpose == lookup_purpose::open}});
    }
}

// Agents not asked so far: first those that directed the bucket, then the others.
std::vector<base::node_id> nextToAsk(const flow_state &state, const base::flow_key &key,
                                     const std::vector<base::node_id> &asked)
{
    std::vector<base::node_id> next;
    for (const base::node_id node : formerDirectorsOf(state, key)) {
        if (!contains(asked, node))
            next.push_back(node);
    }
    // Servers that return packets make a wrong guess cheap and a second round dear.
    if (!next.empty() && !state.identity->serverReturnsPackets)
        return next;
    for (const routing::target &agent : otherAgents(state)) {
        if (next.size() < askedInRound && asked.size() + next.size() < maxAsked
            && !contains(asked, agent.node) && !contains(next, agent.node))
            next.push_back(agent.node);
    }
    return next;
}

// The held flow, with these agents asked too.
pending_lookup asking(const pending_lookup &held, const std::vector<base::node_id> &more,
                      base::clock_time now)
{
    std::vector<base::node_id> asked = held.asked;
    std::vector<base::node_id> waitingFor = held.waitingFor;
    asked.insert(asked.end(), more.begin(), more.end());
    waitingFor.insert(waitingFor.end(), more.begin(), more.end());
    return pending_lookup {held.purpose,     held.packets,          held.deadline, now + askEvery,
                           std::move(asked), std::move(waitingFor), held.mayOwn};
}

pending_lookup release(flow_context &context, const base::flow_key &key)
{
    pending_lookup held = *context.state.lookups.find(key);
    context.state.lookupBytes -= bytesOf(held);
    context.state.lookups.erase(key);
    return held;
}

// Nobody could tell who owns the flow.
void giveUp(flow_context &context, const base::flow_key &key)
{
    const pending_lookup held = release(context, key);
    const forwarded_packet &first = held.packets.front();
    if (context.state.identity->serverReturnsPackets) {
        for (const forwarded_packet &packet : held.packets)
            tryCandidates(context, packet, held.mayOwn, !held.waitingFor.empty());
        return;
    }
    if (held.purpose == lookup_purpose::open)
        openFlow(context, first);
    else if (hasStartedLately(context.state, context.now))
        adoptFlow(context, first);
    else
        context.actions.emplace_back(reset_caller {first.bytes, base::error_code::flowUnknown});
    const bool owned = context.state.owned.find(key) != nullptr;
    for (std::size_t i = 1; i < held.packets.size(); ++i) {
        if (owned)
            handleOwned(context, *context.state.owned.find(key), held.packets[i]);
    }
}

// All asked agents have answered: goes on with the next ones, or gives up.
void proceed(flow_context &context, const base::flow_key &key)
{
    const pending_lookup &held = *context.state.lookups.find(key);
    std::vector<base::node_id> next;
    if (held.purpose == lookup_purpose::find)
        next = nextToAsk(context.state, key, held.asked);
    if (next.empty()) {
        giveUp(context, key);
        return;
    }
    context.state.lookups.put(key, asking(held, next, context.now));
    ask(context, key, *context.state.lookups.find(key));
}

void sendAllTo(flow_context &context, const base::flow_key &key, const routing::target &to,
               packet_stage stage)
{
    const pending_lookup held = release(context, key);
    for (const forwarded_packet &packet : held.packets)
        forwardTo(context, packet, to, stage);
}

void answer(flow_context &context, const flow_lookup &lookup, lookup_verdict verdict,
            const routing::target &owner)
{
    const flow_state &state = context.state;
    context.actions.emplace_back(
        send_to_peer {lookup.asker.packets,
                      lookup_answer {lookup.service, lookup.key, selfTarget(state),
                                     currentGeneration(state), verdict, owner}});
}

// Two agents that are both about to open the flow have asked each other: one of them goes on.
bool winsAgainst(const flow_state &state, const flow_lookup &lookup)
{
    const routing::target *director = directorOf(state, lookup.key);
    if (director != nullptr && director->node == lookup.asker.node)
        return false;
    const std::pair<base::generation, base::node_id> ownRank(currentGeneration(state),
                                                             state.identity->node);
    return ownRank > std::make_pair(lookup.at, lookup.asker.node);
}

void answerUnknown(flow_context &context, const flow_lookup &lookup)
{
    const flow_state &state = context.state;
    const routing::target self = selfTarget(state);
    const routing::target *director = directorOf(state, lookup.key);
    const bool directs = director != nullptr && isSelf(state, director->node)
        && currentGeneration(state) >= lookup.at;
    const pending_lookup *held = state.lookups.find(lookup.key);
    const bool opening = held != nullptr && held->purpose == lookup_purpose::open;
    if (directs || (lookup.claims && opening && winsAgainst(state, lookup))) {
        answer(context, lookup, lookup_verdict::redirect, self);
        return;
    }
    // Its former life may own the flow; what comes back from the others shows it soon.
    if (isRecovering(state))
        return;
    if (lookup.claims)
        rememberOwner(context, lookup.key, lookup.asker, lookup.at);
    answer(context, lookup, lookup_verdict::unknown, self);
}

} // namespace

void startLookup(flow_context &context, const forwarded_packet &packet, lookup_purpose purpose,
                 const std::vector<base::node_id> &firstAsked)
{
    flow_state &state = context.state;
    const std::size_t bytes = packet.bytes.view().size();
    if (state.lookups.size() >= maxHeldFlows || state.lookupBytes + bytes > maxHeldBytes) {
        // A reset would end a flow that somebody may well own.
        if (state.identity->serverReturnsPackets)
            context.actions.emplace_back(refuse_packet {base::error_code::tooManyLookups});
        else
            context.actions.emplace_back(
                reset_caller {packet.bytes, base::error_code::tooManyLookups});
        return;
    }
    const base::clock_time span = purpose == lookup_purpose::open ? openHold : findHold;
    const pending_lookup held {purpose, {packet}, context.now + span, context.now, {}, {}};
    state.lookupBytes += bytes;
    state.lookups.put(packet.summary.key, asking(held, firstAsked, context.now));
    if (firstAsked.empty())
        proceed(context, packet.summary.key);
    else
        ask(context, packet.summary.key, *state.lookups.find(packet.summary.key));
}

void addToLookup(flow_context &context, const pending_lookup &held, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const std::size_t bytes = packet.bytes.view().size();
    if (held.packets.size() >= maxPacketsOfFlow || state.lookupBytes + bytes > maxHeldBytes) {
        context.actions.emplace_back(refuse_packet {base::error_code::tooManyLookups});
        return;
    }
    std::vector<forwarded_packet> packets = held.packets;
    packets.push_back(packet);
    state.lookupBytes += bytes;
    state.lookups.put(packet.summary.key,
                      pending_lookup {held.purpose, std::move(packets), held.deadline,
                                      held.askAgainAt, held.asked, held.waitingFor, held.mayOwn});
}

void handleLookup(flow_context &context, const flow_lookup &lookup)
{
    const flow_state &state = context.state;
    if (lookup.service != state.identity->service)
        return;
    const owned_flow *flow = state.owned.find(lookup.key);
    if (flow != nullptr && flow->phase != flow_phase::ended) {
        answer(context, lookup, lookup_verdict::owned, selfTarget(state));
        return;
    }
    const std::optional<routing::target> owner = knownOwner(state, lookup.key);
    if (owner)
        answer(context, lookup, lookup_verdict::owned, *owner);
    else if (state.identity->serverReturnsPackets)
        answer(context, lookup,
               state.server.isOlder ? lookup_verdict::mayOwn : lookup_verdict::unknown,
               selfTarget(state));
    else
        answerUnknown(context, lookup);
}

void handleLookupAnswer(flow_context &context, const lookup_answer &answer)
{
    flow_state &state = context.state;
    const pending_lookup *held = state.lookups.find(answer.key);
    if (answer.service != state.identity->service || held == nullptr
        || !contains(held->waitingFor, answer.from.node))
        return;
    if (answer.verdict == lookup_verdict::redirect) {
        sendAllTo(context, answer.key, answer.from, packet_stage::toDirector);
        return;
    }
    if (answer.verdict == lookup_verdict::owned && !isSelf(state, answer.owner.node)) {
        rememberOwner(context, answer.key, answer.owner, answer.at);
        sendAllTo(context, answer.key, answer.owner, packet_stage::toOwner);
        return;
    }
    if (answer.verdict == lookup_verdict::owned) {
        const pending_lookup released = release(context, answer.key);
        for (const forwarded_packet &packet : released.packets) {
            if (state.identity->serverReturnsPackets)
                adoptReturning(context, packet);
            else
                handlePacketAsOwner(context, packet);
        }
        return;
    }
    std::vector<base::node_id> waitingFor = held->waitingFor;
    waitingFor.erase(std::find(waitingFor.begin(), waitingFor.end(), answer.from.node));
    const bool allAnswered = waitingFor.empty();
    std::vector<base::node_id> mayOwn = held->mayOwn;
    if (answer.verdict == lookup_verdict::mayOwn)
        mayOwn.push_back(answer.from.node);
    state.lookups.put(answer.key,
                      pending_lookup {held->purpose, held->packets, held->deadline,
                                      held->askAgainAt, held->asked, std::move(waitingFor),
                                      std::move(mayOwn)});
    if (allAnswered)
        proceed(context, answer.key);
}

void lookupTick(flow_context &context)
{
    std::vector<base::flow_key> keys;
    for (auto it = context.state.lookups.begin(); it != context.state.lookups.end(); ++it) {
        if (it->second.askAgainAt <= context.now || it->second.deadline <= context.now)
            keys.push_back(it->first);
    }
    for (const base::flow_key &key : keys) {
        const pending_lookup held = *context.state.lookups.find(key);
        if (held.deadline <= context.now) {
            giveUp(context, key);
            continue;
        }
        // The silent ones are asked again, and the next ones too.
        std::vector<base::node_id> next;
        if (held.purpose == lookup_purpose::find)
            next = nextToAsk(context.state, key, held.asked);
        context.state.lookups.put(key, asking(held, next, context.now));
        ask(context, key, *context.state.lookups.find(key));
    }
}

} // namespace lycheeshunt::flows::internal
