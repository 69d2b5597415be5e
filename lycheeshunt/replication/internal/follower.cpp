#include "lycheeshunt/replication/internal/follower.h"

#include "lycheeshunt/replication/internal/commit.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/membership_change.h"

namespace lycheeshunt::replication::internal {

namespace {

// Follows the sender if its term is current or later. Returns false for a leader of an earlier
// term.
bool acceptLeader(replica_context context, const replica_id &from, std::uint64_t term)
{
    replica_state &state = context.state;
    if (term < state.term)
        return false;
    const follower_role *follower = context.roleAs<follower_role>();
    if (term > state.term || follower == nullptr || follower->leader != from.node)
        becomeFollower(context, term, from.node);
    state.lastLeaderContact = state.now;
    restartElectionTimer(state);
    return true;
}

// A request of an earlier term may come from the present leader, from an earlier leadership with
// rounds of its own. Its round must not count as answered in the present term.
append_answer rejectionOfEarlierTerm(const replica_state &state, base::generation index)
{
    constexpr std::uint64_t noRound = 0;
    return append_answer {state.term, noRound, false, index};
}

// Index from which the leader should retry: the end of a log that is too short, otherwise the first
// uncommitted entry of the conflicting term, so that one round trip skips the whole term.
base::generation retryIndex(const replica_state &state, base::generation previous)
{
    if (previous > state.log.lastIndex())
        return after(state.log.lastIndex());
    const std::optional<std::uint64_t> term = state.log.termAt(previous);
    base::generation first = previous;
    while (first > after(state.log.baseIndex()) && first > after(state.commit)
           && state.log.termAt(before(first)) == term)
        first = before(first);
    return first;
}

// Whether the log contains the entry that precedes those of the request. Entries covered by the
// snapshot are committed, so the leader has the same ones.
bool isMatch(const replica_state &state, const append_request &request)
{
    return request.previousIndex <= state.log.baseIndex()
        || state.log.termAt(request.previousIndex) == request.previousTerm;
}

// Appends the new entries. An entry that conflicts with the leader's is removed together with all
// later ones. Committed entries cannot conflict; false if one does, or if there is a gap.
bool storeEntries(replica_context context, const std::vector<log_entry> &entries)
{
    replica_state &state = context.state;
    std::vector<log_entry> appended;
    for (const log_entry &entry : entries) {
        if (entry.index <= state.log.baseIndex())
            continue;
        const std::optional<std::uint64_t> storedTerm = state.log.termAt(entry.index);
        if (storedTerm == entry.term)
            continue;
        if (entry.index <= state.commit || entry.index > after(state.log.lastIndex()))
            return false;
        if (storedTerm) {
            state.log.truncateFrom(entry.index);
            removeConfigurationsFrom(state, entry.index);
            context.actions.emplace_back(truncate_log {entry.index});
        }
        state.log.append(entry);
        addConfiguration(state, entry);
        appended.push_back(entry);
    }
    if (!appended.empty())
        context.actions.emplace_back(persist_entries {std::move(appended)});
    return true;
}

void installSnapshot(replica_context context, const snapshot_piece &last)
{
    replica_state &state = context.state;
    state.latestSnapshot = std::make_shared<const snapshot>(snapshot {
        last.index, last.snapshotTerm, last.configuration, std::move(state.incoming.bytes)});
    state.incoming = incoming_snapshot {};
    state.log = replica_log(last.index, last.snapshotTerm);
    state.commit = last.index;
    state.configurations.clear();
    state.configurations.push_back(indexed_configuration {last.index, last.configuration});
    context.actions.emplace_back(persist_snapshot {state.latestSnapshot, true});
}

} // namespace

void handleAppendRequest(replica_context context, const replica_id &from,
                         const append_request &request)
{
    replica_state &state = context.state;
    if (!acceptLeader(context, from, request.term)) {
        context.sendTo(from, rejectionOfEarlierTerm(state, request.previousIndex));
        return;
    }
    if (!isMatch(state, request)) {
        context.sendTo(from,
                       append_answer {state.term, request.heartbeatRound, false,
                                      retryIndex(state, request.previousIndex)});
        return;
    }
    if (!storeEntries(context, request.entries))
        return;
    const base::generation last(request.previousIndex.value() + request.entries.size());
    context.sendTo(from,
                   append_answer {state.term, request.heartbeatRound, true,
                                  std::max(last, state.log.baseIndex())});
    commitUpTo(context, std::min(request.commit, last));
}

void handleSnapshotPiece(replica_context context, const replica_id &from,
                         const snapshot_piece &piece)
{
    replica_state &state = context.state;
    if (!acceptLeader(context, from, piece.term)) {
        context.sendTo(from, rejectionOfEarlierTerm(state, piece.index));
        return;
    }
    if (piece.index <= state.commit) {
        context.sendTo(from, append_answer {state.term, piece.heartbeatRound, true, state.commit});
        return;
    }
    incoming_snapshot &incoming = state.incoming;
    if (incoming.leaderTerm != piece.term || incoming.index != piece.index)
        incoming = incoming_snapshot {piece.term, piece.index, {}};
    if (piece.offset == incoming.bytes.size())
        incoming.bytes += piece.bytes;
    if (incoming.bytes.size() < piece.totalBytes) {
        context.sendTo(
            from,
            snapshot_answer {state.term, piece.heartbeatRound, piece.index, incoming.bytes.size()});
        return;
    }
    installSnapshot(context, piece);
    context.sendTo(from, append_answer {state.term, piece.heartbeatRound, true, piece.index});
}

bool forwardToLeader(replica_context context, const proposal &forwarded)
{
    const follower_role *follower = context.roleAs<follower_role>();
    if (follower == nullptr || !follower->leader || !context.state.isFormed())
        return false;
    const configuration_member *leader = context.state.members().find(*follower->leader);
    if (leader == nullptr)
        return false;
    context.send(*leader, forwarded_proposal {forwarded});
    return true;
}

} // namespace lycheeshunt::replication::internal
