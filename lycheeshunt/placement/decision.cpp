#include "lycheeshunt/placement/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include "lycheeshunt/placement/cost.h"
#include "lycheeshunt/placement/reporting.h"
#include "lycheeshunt/placement/service_times.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace lycheeshunt::placement {

namespace {

using placement_step = base::step<placement_state, placement_action>;

// An agent to which the flow may be offered.
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
    // Time of a request at a server of the service; 0 when no server's is known.
    double millis = 0;
};

bool wasOffered(const flow_offered &offer, base::node_id node)
{
    return std::find(offer.tried.begin(), offer.tried.end(), node) != offer.tried.end();
}

// Whether this agent itself can take the flow.
bool acceptsHere(const placement_state &state, const flow_offered &offer)
{
    const admission::slot_counts &slots = state.ownLoad->slots;
    return offer.acceptsHere.value_or(slots.accepting) && !slots.draining && slots.allowed > 0;
}

bool isFresh(const placement_state &state, const peer_state &peerState, base::clock_time now)
{
    return peerState.report && now - peerState.lastHeard < state.rules->suspectAfter;
}

// A peer whose report is older than suspectAfter counts with the average load of this agent and the
// peers with recent reports.
candidate makeCandidate(const placement_state &state, base::node_id node,
                        const peer_state &peerState, const averages &mean, base::clock_time now)
{
    const bool sameZone = peerState.zone == state.self->zone;
    if (!isFresh(state, peerState, now))
        return candidate {node, mean.cost, mean.flows, sameZone, false};
    const server_load &load = peerState.report->load;
    const double slowness = slownessOf(load.serviceMillis, mean.millis);
    const double forwarded = peerState.forwardedSinceReport;
    return candidate {node, costOf(load, forwarded, slowness), slowness * (load.flows + forwarded),
                      sameZone, load.failing};
}

double usualMillisOf(const placement_state &state, base::clock_time now)
{
    std::vector<std::uint32_t> times {state.ownLoad->serviceMillis};
    for (const auto &[node, peerState] : state.peers) {
        if (isFresh(state, peerState, now))
            times.push_back(peerState.report->load.serviceMillis);
    }
    return usualMillis(std::move(times));
}

// Open flows are weighed by the time that their requests take.
averages averagesOf(const placement_state &state, base::clock_time now)
{
    const double millis = usualMillisOf(state, now);
    const double slowness = slownessOf(state.ownLoad->serviceMillis, millis);
    double cost = costOf(*state.ownLoad, 0, slowness);
    double flows = slowness * state.ownLoad->flows;
    double count = 1;
    for (const auto &[node, peerState] : state.peers) {
        if (!isFresh(state, peerState, now))
            continue;
        const server_load &load = peerState.report->load;
        const double peerSlowness = slownessOf(load.serviceMillis, millis);
        cost += costOf(load, peerState.forwardedSinceReport, peerSlowness);
        flows += peerSlowness * load.flows;
        count += 1;
    }
    return averages {cost / count, flows / count, millis};
}

bool isCandidate(const placement_state &state, const peer_state &peerState, base::clock_time now)
{
    const base::clock_time evictAfter = state.rules->evictAfter;
    if (evictAfter > base::clock_time() && now - peerState.lastHeard >= evictAfter)
        return false;
    return !peerState.report
        || (acceptsFlows(peerState.report->load) && !peerState.report->isRecipientSilent);
}

std::vector<candidate> candidatesFor(const placement_state &state, const flow_offered &offer,
                                     const averages &mean, base::clock_time now)
{
    std::vector<candidate> found;
    found.reserve(state.peers.size() + 1);
    if (acceptsHere(state, offer) && !wasOffered(offer, state.self->node)) {
        const double slowness = slownessOf(state.ownLoad->serviceMillis, mean.millis);
        found.push_back(candidate {state.self->node, costOf(*state.ownLoad, 0, slowness),
                                   slowness * state.ownLoad->flows, true, state.ownLoad->failing});
    }
    for (const auto &[node, peerState] : state.peers) {
        if (!wasOffered(offer, node) && isCandidate(state, peerState, now))
            found.push_back(makeCandidate(state, node, peerState, mean, now));
    }
    return found;
}

// Removes failing servers, unless more than half are failing: then the fault is probably not in the
// servers.
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
    const double maxFlowCost = state.rules->flowSlots / std::max(1U, state.ownLoad->slots.allowed);
    return each.cost + std::clamp(state.rules->flowWeight * share, -maxFlowCost, maxFlowCost)
        - (each.sameZone ? state.rules->zoneWeight : 0);
}

// Returns the best candidate, or this agent if it is nearly as good, since that saves a hop. An
// agent without a free slot prefers another agent even if that seems full too: a hop takes less
// time than queueing, and the other agent's report may be stale.
const candidate *choose(const placement_state &state, const std::vector<candidate> &candidates,
                        const averages &mean)
{
    const auto better = [&](const candidate &left, const candidate &right) {
        return rankOf(state, left, mean) < rankOf(state, right, mean);
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(), better);
    if (best == candidates.end())
        return nullptr;
    const candidate &local = candidates.front();
    if (local.node != state.self->node)
        return &*best;
    if (state.rules->probesWhenFull && isFull(*state.ownLoad, 0) && candidates.size() > 1)
        return &*std::min_element(std::next(candidates.begin()), candidates.end(), better);
    if (rankOf(state, local, mean) <= rankOf(state, *best, mean) + state.rules->forwardMargin)
        return &local;
    return &*best;
}

void forwardOffer(placement_state &state, const flow_offered &offer, base::node_id to,
                  action_list &actions)
{
    ++state.peers[to].forwardedSinceReport;
    std::vector<base::node_id> tried = offer.tried;
    tried.push_back(state.self->node);
    const load_report own {state.self->node, state.self->incarnation, ++state.sequence,
                           *state.ownLoad};
    actions.emplace_back(forward_offer {to, flow_offered {offer.id, std::move(tried), own}});
}

void applyReport(placement_state &state, const load_report &report, base::clock_time now)
{
    const auto found = state.peers.find(report.node);
    if (found == state.peers.end() || found->second.incarnation != report.incarnation)
        return;
    peer_state &peerState = found->second;
    if (peerState.report && peerState.report->sequence >= report.sequence)
        return;
    peerState.report = std::make_shared<const load_report>(report);
    peerState.lastHeard = now;
    peerState.forwardedSinceReport = 0;
    peerState.requestedSinceReport = 0;
}

// The agent with the lowest cost of those that forwarded the offer but would queue the flow.
std::optional<base::node_id> findQueueingAgent(const placement_state &state,
                                               const flow_offered &offer, double usual)
{
    std::optional<base::node_id> best;
    double lowestCost = 0;
    for (const base::node_id node : offer.tried) {
        const auto found = state.peers.find(node);
        if (found == state.peers.end() || !found->second.report
            || !acceptsFlows(found->second.report->load) || found->second.report->isRecipientSilent)
            continue;
        const server_load &load = found->second.report->load;
        const double cost = costOf(load, found->second.forwardedSinceReport,
                                   slownessOf(load.serviceMillis, usual));
        if (!best || cost < lowestCost) {
            best = node;
            lowestCost = cost;
        }
    }
    return best;
}

// No agent is left to be offered the flow: it is queued here or at an agent that forwarded the
// offer.
void placeAfterLastOffer(placement_state &state, const flow_offered &offer, double usual,
                         action_list &actions)
{
    const std::optional<base::node_id> queueingAgent = offer.tried.size() < state.rules->maxOffers
        ? findQueueingAgent(state, offer, usual)
        : std::nullopt;
    if (acceptsHere(state, offer))
        actions.emplace_back(accept_flow {offer.id});
    else if (queueingAgent)
        forwardOffer(state, offer, *queueingAgent, actions);
    else
        actions.emplace_back(refuse_flow {offer.id, base::error_code::noServer});
}

void placeFlow(placement_state &state, const flow_offered &offer, base::clock_time now,
               action_list &actions)
{
    if (offer.sender)
        applyReport(state, *offer.sender, now);
    const averages mean = averagesOf(state, now);
    std::vector<candidate> candidates = candidatesFor(state, offer, mean, now);
    dropFailing(candidates);
    const candidate *chosen = choose(state, candidates, mean);
    if (chosen != nullptr && chosen->node == state.self->node)
        actions.emplace_back(accept_flow {offer.id});
    else if (chosen == nullptr || offer.tried.size() + 1 >= state.rules->maxOffers)
        placeAfterLastOffer(state, offer, mean.millis, actions);
    else
        forwardOffer(state, offer, chosen->node, actions);
}

// In a large service, an agent's peers are those next to it in the order of identifiers, on both
// sides, so that the relation is symmetric.
bool isNeighbour(const placement_state &state, std::size_t own, std::size_t other,
                 std::size_t count)
{
    if (count <= state.rules->maxPeers + 1)
        return true;
    const std::size_t distance = own > other ? own - other : other - own;
    return std::min(distance, count - distance) <= state.rules->maxPeers / 2;
}

void updatePeers(placement_state &state, const peers_changed &change)
{
    std::map<base::node_id, const peer *> ordered;
    for (const peer &each : change.peers)
        ordered.emplace(each.node, &each);
    const auto self = ordered.find(state.self->node);
    const std::size_t own = static_cast<std::size_t>(std::distance(ordered.begin(), self));
    std::map<base::node_id, peer_state> next;
    std::size_t position = 0;
    for (auto it = ordered.begin(); it != ordered.end(); ++it, ++position) {
        if (it == self || !isNeighbour(state, own, position, ordered.size()))
            continue;
        const auto previous = state.peers.find(it->first);
        const bool isSameIncarnation = previous != state.peers.end()
            && previous->second.incarnation == it->second->incarnation;
        peer_state peerState
            = isSameIncarnation ? previous->second : peer_state {it->second->incarnation};
        peerState.zone = it->second->zone;
        next.emplace(it->first, std::move(peerState));
    }
    state.peers = std::move(next);
}

} // namespace

bool hasCandidate(const placement_state &state, const flow_offered &offer, base::clock_time now)
{
    return !candidatesFor(state, offer, averages {}, now).empty();
}

placement_step decide(placement_state state, const placement_message &message, base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(base::overloaded {
                       [&](const load_report &received) {
                           applyReport(state, received, now);
                           requestWork(state, now, actions);
                       },
                       [&](const peers_changed &change) { updatePeers(state, change); },
                       [&](const own_load_changed &change) {
                           state.ownLoad = std::make_shared<const server_load>(change.load);
                           sendReports(state, now, actions);
                           requestWork(state, now, actions);
                       },
                       [&](const work_requested &request) { releaseWork(state, request, actions); },
                       [&](const flow_offered &offer) { placeFlow(state, offer, now, actions); },
                       [&](const placement_tick &) { sendReports(state, now, actions); },
                   },
                   message);
    });
    return placement_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::placement
