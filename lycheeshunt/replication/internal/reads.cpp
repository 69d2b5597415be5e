#include "lycheeshunt/replication/internal/reads.h"

#include "lycheeshunt/replication/decision.h"
#include "lycheeshunt/replication/internal/leader.h"
#include "lycheeshunt/replication/internal/membership_change.h"

#include <algorithm>

namespace lycheeshunt::replication::internal {

namespace {

std::uint64_t quorumAnsweredRound(const replica_state &state, const leader_role &leader)
{
    return quorumValue(state, [&](const configuration_member &member) {
        if (member.id() == state.id())
            return leader.heartbeatRound;
        const auto found = leader.progress.find(member.id().node);
        return found == leader.progress.end() ? 0 : found->second.lastAnsweredRound;
    });
}

} // namespace

base::error notLeaderError(const replica_state &state)
{
    if (const failed_role *failed = std::get_if<failed_role>(&state.role))
        return base::error {failed->code, failed->detail};
    const leadership current = leadershipOf(state);
    if (current.leaderName.empty())
        return base::error {base::error_code::quorumLost, "no leader is known"};
    return base::error {base::error_code::notLeader, current.leaderText()};
}

void handleReadRequest(replica_context context, const read_request &read)
{
    leader_role *leader = context.roleAs<leader_role>();
    if (leader == nullptr) {
        context.actions.emplace_back(read_refused {read.request, notLeaderError(context.state)});
        return;
    }
    if (leader->reads.size() >= context.bounds().pendingReads) {
        context.actions.emplace_back(
            read_refused {read.request, {base::error_code::tooBusy, "too many pending reads"}});
        return;
    }
    ++leader->heartbeatRound;
    leader->reads.push_back(pending_read {read.request, leader->heartbeatRound});
    sendHeartbeats(context);
    confirmReads(context);
}

void confirmReads(replica_context context)
{
    leader_role *leader = context.roleAs<leader_role>();
    if (leader == nullptr || context.state.commit < leader->firstIndexOfTerm)
        return;
    const std::uint64_t answered = quorumAnsweredRound(context.state, *leader);
    std::vector<pending_read> unconfirmed;
    for (const pending_read &read : leader->reads) {
        if (read.heartbeatRound <= answered)
            context.actions.emplace_back(read_confirmed {read.request});
        else
            unconfirmed.push_back(read);
    }
    leader->reads = std::move(unconfirmed);
}

void refusePendingReads(replica_context context)
{
    leader_role *leader = context.roleAs<leader_role>();
    if (leader == nullptr)
        return;
    for (const pending_read &read : leader->reads)
        context.actions.emplace_back(
            read_refused {read.request, {base::error_code::quorumLost, "leadership ended"}});
    leader->reads.clear();
}

} // namespace lycheeshunt::replication::internal
