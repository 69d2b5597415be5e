#include "lycheeshunt/flows/internal/lookup.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/ownership.h"
#include "lycheeshunt/flows/internal/packet_path.h"
#include "lycheeshunt/flows/internal/recovery.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/server_trials.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxLookups = 512;
constexpr std::size_t maxPacketsPerLookup = 4;
constexpr std::size_t maxBufferedBytes = 512 * 1024;
// An agent that does not answer within this time is presumed dead, and the flow is opened.
constexpr base::clock_time openTimeout = base::clock_time::ofMillis(400);
// Longer than owners take to register their flows again after a membership change.
constexpr base::clock_time findTimeout = base::clock_time::ofSeconds(2);
constexpr base::clock_time queryInterval = base::clock_time::ofMillis(150);
// An agent that does not answer within this time does not delay the trial of other servers.
constexpr base::clock_time answerTimeout = queryInterval * 2;
// Those next to the director in the first round, which own most of its flows.
constexpr std::size_t queriesInFirstRound = 16;
constexpr std::size_t maxQueriesPerRound = 64;
// The agent that begins a trial is listed behind the candidates.
constexpr std::size_t maxCandidates = maxListedAgents - 1;

bool contains(const std::vector<base::node_id> &nodes, base::node_id node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

std::size_t bufferedBytesOf(const pending_lookup &pending)
{
    std::size_t bytes = 0;
    for (const forwarded_packet &packet : pending.packets)
        bytes += packet.bytes.view().size();
    return bytes;
}

void sendQueries(flow_context &context, const base::flow_key &key, const pending_lookup &pending)
{
    const flow_state &state = context.state;
    for (const base::node_id node : pending.unanswered) {
        const std::optional<routing::target> to = targetOf(state, node);
        if (to)
            context.actions.emplace_back(send_to_peer {
                to->packets,
                flow_lookup {state.identity->service, key, selfTarget(state),
                             currentGeneration(state), pending.purpose == lookup_purpose::open}});
    }
}

// Agents that have not been sent a query yet: former directors of the bucket first, then the
// others.
std::vector<base::node_id> nextToQuery(const flow_state &state, const base::flow_key &key,
                                       const std::vector<base::node_id> &queried)
{
    std::vector<base::node_id> next;
    for (const base::node_id node : formerDirectorsOf(state, key)) {
        if (!contains(queried, node))
            next.push_back(node);
    }
    // Former directors alone form the first round, except where backend servers return packets:
    // there a packet sent to the wrong server does no harm, while a second round costs time.
    if (!next.empty() && !state.identity->serverReturnsPackets)
        return next;
    const std::size_t limit = queried.empty() ? queriesInFirstRound : maxQueriesPerRound;
    for (const base::node_id node : agentsNearDirector(state, key)) {
        if (next.size() < limit && !contains(queried, node) && !contains(next, node))
            next.push_back(node);
    }
    return next;
}

// Adds these agents to those that are sent a query.
pending_lookup withQueries(const pending_lookup &pending, const std::vector<base::node_id> &more,
                           base::clock_time now)
{
    std::vector<base::node_id> queried = pending.queried;
    std::vector<base::node_id> unanswered = pending.unanswered;
    queried.insert(queried.end(), more.begin(), more.end());
    unanswered.insert(unanswered.end(), more.begin(), more.end());
    return pending_lookup {pending.purpose,     pending.packets,    pending.deadline,
                           now + queryInterval, std::move(queried), std::move(unanswered),
                           pending.mayOwn};
}

pending_lookup removeLookup(flow_context &context, const base::flow_key &key)
{
    pending_lookup pending = *context.state.lookups.find(key);
    context.state.lookupBytes -= bufferedBytesOf(pending);
    context.state.lookups.erase(key);
    return pending;
}

// Whether every agent has answered that the sender of the packet or a queried agent may know.
bool isComplete(const flow_state &state, const pending_lookup &pending,
                const forwarded_packet &packet)
{
    const auto isAhead = [&state](base::node_id node) {
        const auto reached = state.peerGenerations.find(node);
        return reached != state.peerGenerations.end() && reached->second > currentGeneration(state);
    };
    return pending.unanswered.empty() && packet.at <= currentGeneration(state)
        && std::none_of(pending.queried.begin(), pending.queried.end(), isAhead)
        && nextToQuery(state, packet.summary.key, pending.queried).empty();
}

// The agents beside servers that may have the flow and have not returned a packet of it, this agent
// first, then those next to the director.
std::vector<base::node_id> candidatesOf(const flow_state &state, const base::flow_key &key,
                                        const pending_lookup &pending)
{
    const std::vector<base::node_id> excluded = excludedFrom(state, key);
    const base::node_id self = state.identity->node;
    std::vector<base::node_id> candidates;
    if (mayServerHave(state, key) && !contains(excluded, self))
        candidates.push_back(self);
    for (const base::node_id node : agentsNearDirector(state, key)) {
        if (contains(pending.mayOwn, node) && !contains(excluded, node)
            && candidates.size() < maxCandidates)
            candidates.push_back(node);
    }
    return candidates;
}

// Tries the servers that may have the flow. If there are none, or packets of the flow have reached
// other servers for long enough, notifies the entry.
void finishReturnable(flow_context &context, const pending_lookup &pending)
{
    const forwarded_packet &first = pending.packets.front();
    const base::flow_key &key = first.summary.key;
    std::vector<base::node_id> ignorant;
    for (const base::node_id node : pending.queried) {
        if (!contains(pending.unanswered, node) && !contains(pending.mayOwn, node))
            ignorant.push_back(node);
    }
    excludeAgents(context, key, ignorant);
    const std::vector<base::node_id> candidates = candidatesOf(context.state, key, pending);
    if (!candidates.empty() && !first.summary.resets && mayTry(context, key)) {
        tryCandidateServers(context, first, candidates);
        return;
    }
    for (const forwarded_packet &packet : pending.packets) {
        const bool isCertain = candidates.empty() && !packet.isDoubtful
            && !isSearchDoubtful(context.state, key) && isComplete(context.state, pending, packet);
        notifyEntry(context, packet, !isCertain, base::error_code::flowUnknown,
                    pending.queried.size());
    }
}

// No agent has named the owner of the flow, or not in time.
void finishWithoutOwner(flow_context &context, const base::flow_key &key)
{
    const pending_lookup pending = removeLookup(context, key);
    const forwarded_packet &first = pending.packets.front();
    if (context.state.identity->serverReturnsPackets) {
        finishReturnable(context, pending);
        return;
    }
    if (pending.purpose == lookup_purpose::open)
        openFlow(context, first);
    else if (hasStartedRecently(context.state, context.now))
        adoptFlow(context, first);
    else
        context.actions.emplace_back(reset_caller {first.bytes, base::error_code::flowUnknown});
    const bool owned = context.state.owned.find(key) != nullptr;
    for (std::size_t i = 1; i < pending.packets.size(); ++i) {
        if (owned)
            handleOwned(context, *context.state.owned.find(key), pending.packets[i]);
    }
}

// All agents that were sent a query have answered: queries further agents, or ends the lookup.
void continueLookup(flow_context &context, const base::flow_key &key)
{
    const pending_lookup &pending = *context.state.lookups.find(key);
    std::vector<base::node_id> next;
    if (pending.purpose == lookup_purpose::find)
        next = nextToQuery(context.state, key, pending.queried);
    // Agents are queried before any server is tried.
    const bool hasQueried = pending.queried.size() > excludedFrom(context.state, key).size();
    const bool mayTryNow = context.state.identity->serverReturnsPackets && hasQueried
        && !candidatesOf(context.state, key, pending).empty() && mayTry(context, key);
    if (next.empty() || mayTryNow) {
        finishWithoutOwner(context, key);
        return;
    }
    context.state.lookups.put(key, withQueries(pending, next, context.now));
    sendQueries(context, key, *context.state.lookups.find(key));
}

// Whether this agent's backend server has returned a packet of the flow, so that an agent that
// names this one as the owner is wrong.
bool wasReturned(const flow_state &state, const pending_lookup &pending)
{
    return state.identity->serverReturnsPackets
        && std::any_of(pending.packets.begin(), pending.packets.end(),
                       [](const forwarded_packet &packet) {
                           return packet.stage == packet_stage::declined;
                       });
}

void forwardAllTo(flow_context &context, const base::flow_key &key, const routing::target &to,
                  packet_stage stage)
{
    const pending_lookup pending = removeLookup(context, key);
    for (const forwarded_packet &packet : pending.packets)
        forwardTo(context, packet, to, stage);
}

} // namespace

void startLookup(flow_context &context, const forwarded_packet &packet, lookup_purpose purpose,
                 const std::vector<base::node_id> &firstQueried)
{
    flow_state &state = context.state;
    if (const pending_lookup *running = state.lookups.find(packet.summary.key)) {
        addToLookup(context, *running, packet);
        return;
    }
    const std::size_t bytes = packet.bytes.view().size();
    if (state.lookups.size() >= maxLookups || state.lookupBytes + bytes > maxBufferedBytes) {
        // A reset would end a flow that another agent may own.
        if (state.identity->serverReturnsPackets)
            context.actions.emplace_back(refuse_packet {base::error_code::tooManyLookups});
        else
            context.actions.emplace_back(
                reset_caller {packet.bytes, base::error_code::tooManyLookups});
        return;
    }
    const base::clock_time timeout = purpose == lookup_purpose::open ? openTimeout : findTimeout;
    std::vector<base::node_id> excluded;
    if (state.identity->serverReturnsPackets)
        excluded = excludedFrom(state, packet.summary.key);
    std::erase(excluded, state.identity->node);
    const pending_lookup pending {
        purpose, {packet}, context.now + timeout, context.now, std::move(excluded), {}};
    state.lookupBytes += bytes;
    state.lookups.put(packet.summary.key, withQueries(pending, firstQueried, context.now));
    if (firstQueried.empty())
        continueLookup(context, packet.summary.key);
    else
        sendQueries(context, packet.summary.key, *state.lookups.find(packet.summary.key));
}

void addToLookup(flow_context &context, const pending_lookup &pending,
                 const forwarded_packet &packet)
{
    flow_state &state = context.state;
    const std::size_t bytes = packet.bytes.view().size();
    if (pending.packets.size() >= maxPacketsPerLookup
        || state.lookupBytes + bytes > maxBufferedBytes) {
        context.actions.emplace_back(refuse_packet {base::error_code::tooManyLookups});
        return;
    }
    std::vector<forwarded_packet> packets = pending.packets;
    packets.push_back(packet);
    state.lookupBytes += bytes;
    state.lookups.put(packet.summary.key,
                      pending_lookup {pending.purpose, std::move(packets), pending.deadline,
                                      pending.nextQueryAt, pending.queried, pending.unanswered,
                                      pending.mayOwn});
}

void handleLookupAnswer(flow_context &context, const lookup_answer &answer)
{
    flow_state &state = context.state;
    const pending_lookup *pending = state.lookups.find(answer.key);
    if (answer.service != state.identity->service || pending == nullptr
        || !contains(pending->unanswered, answer.from.node))
        return;
    if (answer.verdict == lookup_verdict::redirect) {
        forwardAllTo(context, answer.key, answer.from, packet_stage::toDirector);
        return;
    }
    // An agent whose server has returned a packet of the flow is not its owner, whoever says so.
    const bool isOwnerExcluded = contains(excludedFrom(state, answer.key), answer.owner.node);
    if (answer.verdict == lookup_verdict::owned && !isSelf(state, answer.owner.node)
        && !isOwnerExcluded) {
        storeOwner(context, answer.key, answer.owner, answer.at);
        forwardAllTo(context, answer.key, answer.owner, packet_stage::toOwner);
        return;
    }
    if (answer.verdict == lookup_verdict::owned && !wasReturned(state, *pending)) {
        const pending_lookup finished = removeLookup(context, answer.key);
        for (const forwarded_packet &packet : finished.packets) {
            if (state.identity->serverReturnsPackets)
                adoptTentatively(context, packet);
            else
                handlePacketAsOwner(context, packet);
        }
        return;
    }
    std::vector<base::node_id> unanswered = pending->unanswered;
    unanswered.erase(std::find(unanswered.begin(), unanswered.end(), answer.from.node));
    const bool allAnswered = unanswered.empty();
    std::vector<base::node_id> mayOwn = pending->mayOwn;
    // An agent that wrongly names another one as the owner has not said whether its own server may
    // have the flow.
    if (answer.verdict == lookup_verdict::mayOwn || answer.verdict == lookup_verdict::owned)
        mayOwn.push_back(answer.from.node);
    state.lookups.put(answer.key,
                      pending_lookup {pending->purpose, pending->packets, pending->deadline,
                                      pending->nextQueryAt, pending->queried, std::move(unanswered),
                                      std::move(mayOwn)});
    if (allAnswered)
        continueLookup(context, answer.key);
}

// Whether the servers that may have the flow are tried before every queried agent has answered.
bool isTrialDue(const flow_state &state, const base::flow_key &key, const pending_lookup &pending,
                base::clock_time now)
{
    if (!state.identity->serverReturnsPackets)
        return false;
    const base::clock_time startedAt = pending.deadline - findTimeout;
    const bool isAllQueried = nextToQuery(state, key, pending.queried).empty();
    const bool hasCandidate = !candidatesOf(state, key, pending).empty();
    return (hasCandidate || isAllQueried) && now - startedAt >= answerTimeout;
}

void lookupTick(flow_context &context)
{
    std::vector<base::flow_key> keys;
    for (auto it = context.state.lookups.begin(); it != context.state.lookups.end(); ++it) {
        if (it->second.nextQueryAt <= context.now || it->second.deadline <= context.now)
            keys.push_back(it->first);
    }
    for (const base::flow_key &key : keys) {
        const pending_lookup pending = *context.state.lookups.find(key);
        if (pending.deadline <= context.now
            || isTrialDue(context.state, key, pending, context.now)) {
            finishWithoutOwner(context, key);
            continue;
        }
        // Retries the agents that have not answered, and queries further agents.
        std::vector<base::node_id> next;
        if (pending.purpose == lookup_purpose::find)
            next = nextToQuery(context.state, key, pending.queried);
        context.state.lookups.put(key, withQueries(pending, next, context.now));
        sendQueries(context, key, *context.state.lookups.find(key));
    }
}

} // namespace lycheeshunt::flows::internal
