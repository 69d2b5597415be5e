#include "lycheeshunt/flows/internal/server_trials.h"

#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

constexpr std::size_t maxPendingTrials = 512;
// Longer than a packet takes to the servers that it lists, and shorter than a caller waits.
constexpr base::clock_time pendingTrialLifetime = base::clock_time::ofSeconds(2);

// Cuts a list that does not fit into a packet. The packet then comes back to this agent with the
// last candidate that was tried, and is doubtful until this agent has continued the search.
forwarded_packet trialWith(const flow_state &state, const forwarded_packet &packet,
                           std::vector<base::node_id> remaining)
{
    if (remaining.size() <= maxListedAgents)
        return packet.with(packet_stage::trial, std::move(remaining), packet.isDoubtful);
    constexpr std::size_t listed = maxListedAgents - 2;
    remaining.resize(listed);
    const base::node_id last = remaining.back();
    remaining.push_back(state.identity->node);
    remaining.push_back(last);
    return packet.with(packet_stage::trial, std::move(remaining), true);
}

} // namespace

bool mayServerHave(const flow_state &state, const base::flow_key &key)
{
    const owned_flow *flow = state.owned.find(key);
    return state.server.isOlder || (flow != nullptr && flow->phase == flow_phase::tried);
}

forwarded_packet passedOver(const flow_state &state, const forwarded_packet &packet)
{
    std::vector<base::node_id> remaining = packet.agents;
    // A packet whose list was cut is doubtful already, so the doubt is shown by a name at the end.
    if (packet.isDoubtful && remaining.size() > 1)
        remaining.push_back(state.identity->node);
    return packet.with(packet.stage, std::move(remaining), true);
}

void notifyEntry(flow_context &context, const forwarded_packet &packet, bool isDoubtful,
                 base::error_code reason, std::size_t queried)
{
    recordEvent(context, flow_event_kind::unknown, packet.with(packet.stage, {}, isDoubtful),
                base::node_id(), reason, queried);
    if (packet.entry.port != 0)
        context.actions.emplace_back(
            send_packet {packet.entry, packet.with(packet_stage::unknown, {}, isDoubtful)});
    else if (isDoubtful || packet.summary.opens)
        context.actions.emplace_back(refuse_packet {base::error_code::flowUnknown});
    else
        context.actions.emplace_back(reset_caller {packet.bytes, base::error_code::flowUnknown});
}

void tryNextCandidate(flow_context &context, const forwarded_packet &packet)
{
    flow_state &state = context.state;
    if (packet.agents.empty()) {
        notifyEntry(context, packet, packet.isDoubtful);
        return;
    }
    const base::node_id next = packet.agents.front();
    std::vector<base::node_id> remaining(packet.agents.begin() + 1, packet.agents.end());
    if (isSelf(state, next))
        adoptTentatively(context,
                         packet.with(packet_stage::trial, std::move(remaining), packet.isDoubtful));
    else if (const std::optional<routing::target> to = targetOf(state, next))
        context.actions.emplace_back(
            send_packet {to->packets, trialWith(state, packet, std::move(remaining))});
    else
        notifyEntry(context, packet, true);
}

void tryCandidateServers(flow_context &context, const forwarded_packet &packet,
                         const std::vector<base::node_id> &candidates, std::size_t queried,
                         bool isDoubtful)
{
    const bool isUncertain = isDoubtful || packet.isDoubtful;
    std::vector<base::node_id> tried = candidates;
    if (mayServerHave(context.state, packet.summary.key))
        tried.push_back(context.state.identity->node);
    if (isDoubtful || tried.empty() || packet.summary.resets) {
        notifyEntry(context, packet, isUncertain, base::error_code::flowUnknown, queried);
        return;
    }
    recordEvent(context, flow_event_kind::tried, packet, base::node_id(), std::nullopt,
                tried.size());
    flow_map<pending_trial> &pending = context.state.pendingTrials;
    if (tried.size() > maxListedAgents && pending.size() < maxPendingTrials)
        pending.put(packet.summary.key, pending_trial {tried, isUncertain, context.now});
    tryNextCandidate(context, packet.with(packet_stage::trial, std::move(tried), isUncertain));
}

bool continuedTrial(flow_context &context, const forwarded_packet &packet)
{
    const base::flow_key &key = packet.summary.key;
    const pending_trial *found = context.state.pendingTrials.find(key);
    if (found == nullptr || packet.stage != packet_stage::trial || !packet.isDoubtful
        || packet.agents.empty())
        return false;
    const pending_trial pending = *found;
    const auto last
        = std::find(pending.candidates.begin(), pending.candidates.end(), packet.agents.front());
    if (last == pending.candidates.end())
        return false;
    // After the last candidate that was tried, the packet names agents whose server was passed
    // over.
    const bool isDoubtful = pending.isDoubtful || packet.agents.size() > 1;
    context.state.pendingTrials.put(key,
                                    pending_trial {pending.candidates, isDoubtful, context.now});
    tryNextCandidate(
        context,
        packet.with(packet_stage::trial, {last + 1, pending.candidates.end()}, isDoubtful));
    return true;
}

void trialTick(flow_context &context)
{
    std::vector<base::flow_key> expired;
    const flow_map<pending_trial> &pending = context.state.pendingTrials;
    for (auto it = pending.begin(); it != pending.end(); ++it) {
        if (context.now - it->second.at >= pendingTrialLifetime)
            expired.push_back(it->first);
    }
    for (const base::flow_key &key : expired)
        context.state.pendingTrials.erase(key);
}

} // namespace lycheeshunt::flows::internal
