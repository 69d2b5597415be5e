#include "lycheeshunt/replication/internal/reads.h"

#include "lycheeshunt/replication/decision.h"
#include "lycheeshunt/replication/internal/leading.h"
#include "lycheeshunt/replication/internal/membership_change.h"

#include <algorithm>

namespace lycheeshunt::replication::internal {

namespace {

std::uint64_t quorumRound(const replica_state &state, const leader_role &leader)
{
    return quorumValue(state, [&](const configuration_member &member) {
        if (member.id() == state.id())
            return leader.round;
        const auto found = leader.progress.find(member.id().node);
        return found == leader.progress.end() ? 0 : found->second.roundAnswered;
    });
}

} // namespace

base::error notLeading(const replica_state &state)
{
    if (const failed_role *failed = std::get_if<failed_role>(&state.role))
        return base::error {failed->code, failed->detail};
    const leadership known = leadershipOf(state);
    if (known.leaderName.empty())
        return base::error {base::error_code::quorumLost, "no leader is known"};
    return base::error {base::error_code::notLeader, known.leaderText()};
}

void takeRead(replica_work work, const read_request &read)
{
    leader_role *leader = work.roleAs<leader_role>();
    if (leader == nullptr) {
        work.actions.emplace_back(read_refused {read.request, notLeading(work.state)});
        return;
    }
    if (leader->reads.size() >= work.bounds().pendingReads) {
        work.actions.emplace_back(
            read_refused {read.request, {base::error_code::tooBusy, "reads under way"}});
        return;
    }
    ++leader->round;
    leader->reads.push_back(pending_read {read.request, leader->round});
    sendHeartbeats(work);
    settleReads(work);
}

void settleReads(replica_work work)
{
    leader_role *leader = work.roleAs<leader_role>();
    if (leader == nullptr || work.state.commit < leader->firstOwn)
        return;
    const std::uint64_t answered = quorumRound(work.state, *leader);
    std::vector<pending_read> waiting;
    for (const pending_read &read : leader->reads) {
        if (read.round <= answered)
            work.actions.emplace_back(read_confirmed {read.request});
        else
            waiting.push_back(read);
    }
    leader->reads = std::move(waiting);
}

void refuseReads(replica_work work)
{
    leader_role *leader = work.roleAs<leader_role>();
    if (leader == nullptr)
        return;
    for (const pending_read &read : leader->reads)
        work.actions.emplace_back(
            read_refused {read.request, {base::error_code::quorumLost, "leadership ended"}});
    leader->reads.clear();
}

} // namespace lycheeshunt::replication::internal
