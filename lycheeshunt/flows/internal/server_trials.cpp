#include "lycheeshunt/flows/internal/server_trials.h"

#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

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
    std::vector<base::node_id> remaining = packet.agents;
    while (!remaining.empty()) {
        const base::node_id next = remaining.front();
        remaining.erase(remaining.begin());
        if (isSelf(state, next)) {
            adoptTentatively(context,
                             packet.with(packet_stage::trial, remaining, packet.isDoubtful));
            return;
        }
        if (const std::optional<routing::target> to = targetOf(state, next)) {
            context.actions.emplace_back(send_packet {
                to->packets, packet.with(packet_stage::trial, remaining, packet.isDoubtful)});
            return;
        }
    }
    notifyEntry(context, packet, packet.isDoubtful);
}

void tryCandidateServers(flow_context &context, const forwarded_packet &packet,
                         const std::vector<base::node_id> &candidates, std::size_t queried,
                         bool isDoubtful)
{
    const bool isUncertain = isDoubtful || packet.isDoubtful;
    std::vector<base::node_id> tried = candidates;
    // An agent that has declined the packet had it returned by its server, so it isn't tried again.
    if (context.state.server.isOlder && packet.stage != packet_stage::declined)
        tried.push_back(context.state.identity->node);
    if (isDoubtful || tried.empty() || packet.summary.resets)
        notifyEntry(context, packet, isUncertain, base::error_code::flowUnknown, queried);
    else {
        recordEvent(context, flow_event_kind::tried, packet, base::node_id(), std::nullopt,
                    tried.size());
        tryNextCandidate(context, packet.with(packet_stage::trial, std::move(tried), isUncertain));
    }
}

} // namespace lycheeshunt::flows::internal
