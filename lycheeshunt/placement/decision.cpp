#include "lycheeshunt/placement/decision.h"

#include "lycheeshunt/base/overloaded.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace lycheeshunt::placement {

namespace {

using placement_step = base::step<placement_state, placement_action>;
using action_list = std::vector<placement_action>;

// A report with its IP and UDP headers.
constexpr double reportBytes = 64;
// Reports go out this often even if nothing changed, so that silence means trouble.
constexpr base::clock_time heartbeat = base::clock_time::ofMillis(400);

// One agent that a flow may be offered to.
struct candidate
{
    base::node_id node;
    double cost;
    double flows;
    bool sameZone;
    bool failing;
};

struct averages
{
    double cost = 0;
    double flows = 0;
};

bool wasTried(const flow_offered &offer, base::node_id node)
{
    return std::find(offer.tried.begin(), offer.tried.end(), node) != offer.tried.end();
}

bool canTake(const server_load &load)
{
    return load.slots.accepting && !load.slots.draining && load.slots.allowed > 0;
}

// What is known of an agent fades towards the average of those that were heard of lately.
candidate candidateOf(const placement_state &state, base::node_id node, const known_peer &known,
                      const averages &mean, base::clock_time now)
{
    const bool sameZone = known.zone == state.self->zone;
    if (!known.report || now - known.lastHeard >= state.rules->suspectAfter)
        return candidate {node, mean.cost, mean.flows, sameZone, false};
    const server_load &load = known.report->load;
    return candidate {node, costOf(load, known.passedSince),
                      static_cast<double>(load.flows) + known.passedSince, sameZone, load.failing};
}

bool isFresh(const placement_state &state, const known_peer &known, base::clock_time now)
{
    return known.report && now - known.lastHeard < state.rules->suspectAfter;
}

averages averagesOf(const placement_state &state, base::clock_time now)
{
    double cost = costOf(*state.ownLoad, 0);
    double flows = state.ownLoad->flows;
    double count = 1;
    for (const auto &[node, known] : state.peers) {
        if (!isFresh(state, known, now))
            continue;
        cost += costOf(known.report->load, known.passedSince);
        flows += known.report->load.flows;
        count += 1;
    }
    return averages {cost / count, flows / count};
}

bool isCandidate(const placement_state &state, const known_peer &known, base::clock_time now)
{
    const base::clock_time evictAfter = state.rules->evictAfter;
    if (evictAfter > base::clock_time() && now - known.lastHeard >= evictAfter)
        return false;
    return !known.report || canTake(known.report->load);
}

std::vector<candidate> candidatesFor(const placement_state &state, const flow_offered &offer,
                                     const averages &mean, base::clock_time now)
{
    std::vector<candidate> found;
    found.reserve(state.peers.size() + 1);
    if (canTake(*state.ownLoad) && !wasTried(offer, state.self->node)) {
        found.push_back(candidate {state.self->node, costOf(*state.ownLoad, 0),
                                   static_cast<double>(state.ownLoad->flows), true,
                                   state.ownLoad->failing});
    }
    for (const auto &[node, known] : state.peers) {
        if (!wasTried(offer, node) && isCandidate(state, known, now))
            found.push_back(candidateOf(state, node, known, mean, now));
    }
    return found;
}

// Failing servers are left out, unless most are: then the fault is likely not theirs.
void dropFailing(std::vector<candidate> &candidates)
{
    const auto failing = [](const candidate &each) { return each.failing; };
    const std::ptrdiff_t count = std::count_if(candidates.begin(), candidates.end(), failing);
    if (static_cast<std::size_t>(count) * 2 <= candidates.size())
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), failing),
                         candidates.end());
}

double rankOf(const placement_state &state, const candidate &each, const averages &mean)
{
    const double share = mean.flows > 0 ? each.flows / mean.flows - 1 : 0;
    const double most = state.rules->flowSlots / std::max(1U, state.ownLoad->slots.allowed);
    return each.cost + std::clamp(state.rules->flowWeight * share, -most, most)
        - (each.sameZone ? state.rules->zoneWeight : 0);
}

// The best candidate; this agent itself if it is nearly as good, since that saves a hop. An agent
// without a free slot tries another one even if that seems full too: a hop is shorter than a wait,
// and what is known of the other may be old.
const candidate *choose(const placement_state &state, const std::vector<candidate> &candidates,
                        const averages &mean)
{
    const auto better = [&](const candidate &left, const candidate &right) {
        return rankOf(state, left, mean) < rankOf(state, right, mean);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(), better);
    if (best == candidates.end())
        return nullptr;
    const candidate &first = candidates.front();
    if (first.node != state.self->node)
        return &*best;
    if (state.rules->probesWhenFull && first.cost >= 1 && candidates.size() > 1)
        return &*std::min_element(std::next(candidates.begin()), candidates.end(), better);
    if (rankOf(state, first, mean) <= rankOf(state, *best, mean) + state.rules->passMargin)
        return &first;
    return &*best;
}

void pass(placement_state &state, const flow_offered &offer, base::node_id to, action_list &actions)
{
    ++state.peers[to].passedSince;
    std::vector<base::node_id> tried = offer.tried;
    tried.push_back(state.self->node);
    const load_report own {state.self->node, state.self->incarnation, ++state.sequence,
                           *state.ownLoad};
    actions.emplace_back(pass_flow {to, flow_offered {offer.id, std::move(tried), own}});
}

void learn(placement_state &state, const load_report &report, base::clock_time now)
{
    const auto found = state.peers.find(report.node);
    if (found == state.peers.end() || found->second.incarnation != report.incarnation)
        return;
    known_peer &known = found->second;
    if (known.report && known.report->sequence >= report.sequence)
        return;
    known.report = std::make_shared<const load_report>(report);
    known.lastHeard = now;
    known.passedSince = 0;
    known.askedSince = 0;
}

// An agent that passed the flow on because it was full, but would have let it wait.
std::optional<base::node_id> waitingPlace(const placement_state &state, const flow_offered &offer)
{
    std::optional<base::node_id> best;
    double least = 0;
    for (const base::node_id node : offer.tried) {
        const auto found = state.peers.find(node);
        if (found == state.peers.end() || !found->second.report
            || !canTake(found->second.report->load))
            continue;
        const double cost = costOf(found->second.report->load, found->second.passedSince);
        if (!best || cost < least) {
            best = node;
            least = cost;
        }
    }
    return best;
}

// All agents that may be offered the flow were: it waits here, or at one that passed it on.
void placeLast(placement_state &state, const flow_offered &offer, action_list &actions)
{
    const std::optional<base::node_id> back
        = offer.tried.size() < state.rules->maxOffers ? waitingPlace(state, offer) : std::nullopt;
    if (canTake(*state.ownLoad))
        actions.emplace_back(take_flow {offer.id});
    else if (back)
        pass(state, offer, *back, actions);
    else
        actions.emplace_back(refuse_flow {offer.id, base::error_code::noServer});
}

void place(placement_state &state, const flow_offered &offer, base::clock_time now,
           action_list &actions)
{
    if (offer.sender)
        learn(state, *offer.sender, now);
    const averages mean = averagesOf(state, now);
    std::vector<candidate> candidates = candidatesFor(state, offer, mean, now);
    dropFailing(candidates);
    const candidate *chosen = choose(state, candidates, mean);
    if (chosen != nullptr && chosen->node == state.self->node)
        actions.emplace_back(take_flow {offer.id});
    else if (chosen == nullptr || offer.tried.size() + 1 >= state.rules->maxOffers)
        placeLast(state, offer, actions);
    else
        pass(state, offer, chosen->node, actions);
}

// In a large service, the agents next to this one in the order of their identifiers, on both
// sides, so that whoever hears this agent is heard by it.
bool isNeighbour(const placement_state &state, std::size_t own, std::size_t other,
                 std::size_t count)
{
    if (count <= state.rules->maxPeers + 1)
        return true;
    const std::size_t distance = own > other ? own - other : other - own;
    return std::min(distance, count - distance) <= state.rules->maxPeers / 2;
}

void changePeers(placement_state &state, const peers_changed &change)
{
    std::map<base::node_id, const peer *> ordered;
    for (const peer &each : change.peers)
        ordered.emplace(each.node, &each);
    const auto self = ordered.find(state.self->node);
    const std::size_t own = static_cast<std::size_t>(std::distance(ordered.begin(), self));
    std::map<base::node_id, known_peer> next;
    std::size_t position = 0;
    for (auto it = ordered.begin(); it != ordered.end(); ++it, ++position) {
        if (it == self || !isNeighbour(state, own, position, ordered.size()))
            continue;
        const auto old = state.peers.find(it->first);
        const bool same
            = old != state.peers.end() && old->second.incarnation == it->second->incarnation;
        known_peer known = same ? old->second : known_peer {it->second->incarnation};
        known.zone = it->second->zone;
        next.emplace(it->first, std::move(known));
    }
    state.peers = std::move(next);
}

double roundBytes(const placement_state &state)
{
    return reportBytes * static_cast<double>(state.peers.size());
}

void refillBudget(placement_state &state, base::clock_time now)
{
    const double elapsed = static_cast<double>((now - state.budgetAt).millis()) / 1000.0;
    state.budgetBytes = std::min(2 * roundBytes(state),
                                 state.budgetBytes + elapsed * state.rules->reportBytesPerSecond);
    state.budgetAt = now;
}

bool hasQueue(const server_load &load)
{
    return load.slots.queued > 0;
}

// Work that begins to wait here is news to agents with free slots. For this one round is kept back.
bool isUrgent(const placement_state &state)
{
    return state.sentLoad && hasQueue(*state.ownLoad) && !hasQueue(*state.sentLoad);
}

// Sends a round of reports when something changed and the budget allows the whole round.
void report(placement_state &state, base::clock_time now, action_list &actions)
{
    refillBudget(state, now);
    const double needed = roundBytes(state) * (isUrgent(state) ? 1 : 2);
    const bool changed = !state.sentLoad || *state.sentLoad != *state.ownLoad;
    if (state.budgetBytes < needed || (!changed && now - state.sentAt < heartbeat))
        return;
    state.budgetBytes -= roundBytes(state);
    state.sentLoad = state.ownLoad;
    state.sentAt = now;
    const load_report own {state.self->node, state.self->incarnation, ++state.sequence,
                           *state.ownLoad};
    for (auto it = state.peers.begin(); it != state.peers.end(); ++it)
        actions.emplace_back(send_report {it->first, own});
}

bool hasFreeSlot(const server_load &load)
{
    return canTake(load) && !hasQueue(load) && load.slots.busy < load.slots.allowed;
}

// What is left of the queue that a peer told of.
std::uint32_t queueLeft(const known_peer &known)
{
    const std::uint32_t queued = known.report ? known.report->load.slots.queued : 0;
    return queued > known.askedSince ? queued - known.askedSince : 0;
}

// With a free slot, asks the agent with the longest queue for work.
void requestWork(placement_state &state, base::clock_time now, action_list &actions)
{
    refillBudget(state, now);
    if (!state.rules->requestsWork || !hasFreeSlot(*state.ownLoad) || state.ownLoad->failing
        || state.budgetBytes < reportBytes)
        return;
    const auto longest
        = std::max_element(state.peers.begin(), state.peers.end(),
                           [](const std::pair<const base::node_id, known_peer> &left,
                              const std::pair<const base::node_id, known_peer> &right) {
                               return queueLeft(left.second) < queueLeft(right.second);
                           });
    if (longest == state.peers.end() || queueLeft(longest->second) == 0)
        return;
    state.budgetBytes -= reportBytes;
    ++longest->second.askedSince;
    actions.emplace_back(request_work {longest->first});
}

void giveWork(const placement_state &state, const work_requested &request, action_list &actions)
{
    if (hasQueue(*state.ownLoad) && state.peers.contains(request.from))
        actions.emplace_back(give_work {request.from});
}

} // namespace

double costOf(const server_load &load, double passedSince)
{
    const double allowed = std::max(1U, load.slots.allowed);
    const double busy = load.slots.busy + load.hintedBusy + load.slots.queued + passedSince;
    if (busy < allowed)
        return busy / allowed;
    // Only slots that long work does not hold will come free soon.
    const double coming = std::max(0.5, allowed - load.slots.longBusy);
    return 1 + (busy - allowed + 1) / coming;
}

placement_step decide(placement_state state, const placement_message &message, base::clock_time now)
{
    action_list actions;
    std::visit(base::overloaded {
                   [&](const load_report &heard) {
                       learn(state, heard, now);
                       requestWork(state, now, actions);
                   },
                   [&](const peers_changed &change) { changePeers(state, change); },
                   [&](const own_load_changed &change) {
                       state.ownLoad = std::make_shared<const server_load>(change.load);
                       report(state, now, actions);
                       requestWork(state, now, actions);
                   },
                   [&](const work_requested &request) { giveWork(state, request, actions); },
                   [&](const flow_offered &offer) { place(state, offer, now, actions); },
                   [&](const placement_tick &) { report(state, now, actions); },
               },
               message);
    return placement_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::placement
