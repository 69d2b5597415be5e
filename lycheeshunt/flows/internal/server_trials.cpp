#include "lycheeshunt/flows/internal/server_trials.h"

#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <algorithm>

namespace lycheeshunt::flows::internal {

namespace {

// Spreads moments that are a regular interval apart, as those of a caller's retransmissions.
constexpr std::uint64_t spreadFactor = 0x9e37'79b9'7f4a'7c15;
constexpr int spreadBits = 32;

// Where a packet can't list every candidate, each packet's list starts elsewhere, so that one of a
// few retransmissions reaches any candidate.
std::vector<base::node_id> listedAt(std::vector<base::node_id> candidates, base::clock_time now)
{
    if (candidates.size() > maxListedAgents) {
        const std::uint64_t spread
            = (static_cast<std::uint64_t>(now.millis()) * spreadFactor) >> spreadBits;
        std::rotate(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(spread % candidates.size()),
                    candidates.end());
        candidates.resize(maxListedAgents);
    }
    return candidates;
}

} // namespace

bool mayServerHave(const flow_state &state, const base::flow_key &key)
{
    const owned_flow *flow = state.owned.find(key);
    return state.server.isOlder || (flow != nullptr && flow->phase == flow_phase::tried);
}

void notifyEntry(flow_context &context, const forwarded_packet &packet, bool isDoubtful,
                 base::error_code reason, std::size_t queried)
{
    const bool isInDoubt = isDoubtful || isAheadOf(context.state, packet);
    recordEvent(context, flow_event_kind::unknown, packet.with(packet.stage, {}, isInDoubt),
                base::node_id(), reason, queried);
    if (packet.entry.port != 0)
        context.actions.emplace_back(
            send_packet {packet.entry, packet.with(packet_stage::unknown, {}, isInDoubt)});
    else if (isInDoubt || packet.summary.opens)
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
        context.actions.emplace_back(send_packet {
            to->packets,
            packet.with(packet_stage::trial, std::move(remaining), packet.isDoubtful)});
    else
        notifyEntry(context, packet, true);
}

void tryCandidateServers(flow_context &context, const forwarded_packet &packet,
                         const std::vector<base::node_id> &candidates, std::size_t queried,
                         bool isDoubtful)
{
    std::vector<base::node_id> tried = candidates;
    if (mayServerHave(context.state, packet.summary.key))
        tried.push_back(context.state.identity->node);
    const bool isCut = tried.size() > maxListedAgents;
    const bool isUncertain = isDoubtful || packet.isDoubtful || isCut;
    if (tried.empty() || packet.summary.resets) {
        notifyEntry(context, packet, isUncertain, base::error_code::flowUnknown, queried);
        return;
    }
    recordEvent(context, flow_event_kind::tried, packet, base::node_id(), std::nullopt,
                tried.size());
    tryNextCandidate(
        context,
        packet.with(packet_stage::trial, listedAt(std::move(tried), context.now), isUncertain));
}

} // namespace lycheeshunt::flows::internal
