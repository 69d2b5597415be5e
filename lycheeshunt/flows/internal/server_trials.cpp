#include "lycheeshunt/flows/internal/server_trials.h"

#include "lycheeshunt/flows/internal/flow_placement.h"
#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/lookup.h"
#include "lycheeshunt/flows/internal/returned_packets.h"
#include "lycheeshunt/flows/internal/service_view.h"

namespace lycheeshunt::flows::internal {

bool mayServerHave(const flow_state &state, const base::flow_key &key)
{
    const owned_flow *flow = state.owned.find(key);
    const bool isTried = flow != nullptr
        && (flow->phase == flow_phase::tried || flow->phase == flow_phase::copied);
    return state.server.isOlder || isTried;
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
    const flow_state &state = context.state;
    std::vector<base::node_id> remaining = packet.agents;
    bool isDoubtful = packet.isDoubtful;
    while (!remaining.empty()) {
        const base::node_id next = remaining.front();
        remaining.erase(remaining.begin());
        if (isSelf(state, next))
            break;
        if (const std::optional<routing::target> to = targetOf(state, next)) {
            context.actions.emplace_back(send_packet {
                to->packets, packet.with(packet_stage::trial, std::move(remaining), isDoubtful)});
            return;
        }
        // The candidate has left the view, so its server can't be tried.
        isDoubtful = true;
    }
    if (endTrial(context, packet.summary.key, isDoubtful))
        startLookup(context, packet.with(packet_stage::declined, {}, isDoubtful),
                    lookup_purpose::find, {});
    else
        notifyEntry(context, packet, true);
}

void tryCandidateServers(flow_context &context, const forwarded_packet &packet,
                         const std::vector<base::node_id> &candidates)
{
    const base::node_id self = context.state.identity->node;
    recordEvent(context, flow_event_kind::tried, packet, base::node_id(), std::nullopt,
                candidates.size());
    beginTrial(context, packet.summary.key, candidates);
    std::vector<base::node_id> others = candidates;
    const bool triesSelf = std::erase(others, self) > 0;
    if (!others.empty())
        others.push_back(self);
    const forwarded_packet listed
        = packet.with(packet_stage::trial, std::move(others), packet.isDoubtful);
    if (triesSelf)
        adoptTentatively(context, listed);
    else
        tryNextCandidate(context, listed);
}

} // namespace lycheeshunt::flows::internal
