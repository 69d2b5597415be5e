#include "lycheeshunt/replication/internal/following.h"

#include "lycheeshunt/replication/internal/commit.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/membership_change.h"

namespace lycheeshunt::replication::internal {

namespace {

// Follows the sender of a message of this or a later term. False for a leader of the past.
bool acceptLeader(replica_work work, const replica_id &from, std::uint64_t term)
{
    replica_state &state = work.state;
    if (term < state.term)
        return false;
    const follower_role *follower = work.roleAs<follower_role>();
    if (term > state.term || follower == nullptr || follower->leader != from.node)
        becomeFollower(work, term, from.node);
    state.lastLeaderContact = state.now;
    restartElectionTimer(state);
    return true;
}

// Where the leader should try next: before the whole term that differs.
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

// Whether the log holds what the request builds on. What a snapshot covers is committed, so the
// leader has it too.
bool isMatch(const replica_state &state, const append_request &request)
{
    return request.previousIndex <= state.log.baseIndex()
        || state.log.termAt(request.previousIndex) == request.previousTerm;
}

// Appends what is new. An entry that differs from the leader's goes, with all after it; one that
// is committed can't differ.
bool storeEntries(replica_work work, const std::vector<log_entry> &entries)
{
    replica_state &state = work.state;
    std::vector<log_entry> fresh;
    for (const log_entry &entry : entries) {
        if (entry.index <= state.log.baseIndex())
            continue;
        const std::optional<std::uint64_t> held = state.log.termAt(entry.index);
        if (held == entry.term)
            continue;
        if (entry.index <= state.commit || entry.index > after(state.log.lastIndex()))
            return false;
        if (held) {
            state.log.truncateFrom(entry.index);
            forgetConfigurations(state, entry.index);
            work.actions.emplace_back(truncate_log {entry.index});
        }
        state.log.append(entry);
        trackConfiguration(state, entry);
        fresh.push_back(entry);
    }
    if (!fresh.empty())
        work.actions.emplace_back(persist_entries {std::move(fresh)});
    return true;
}

void installSnapshot(replica_work work, const snapshot_piece &last)
{
    replica_state &state = work.state;
    state.latestSnapshot = std::make_shared<const snapshot>(snapshot {
        last.index, last.snapshotTerm, last.configuration, std::move(state.incoming.bytes)});
    state.incoming = incoming_snapshot {};
    state.log = replica_log(last.index, last.snapshotTerm);
    state.commit = last.index;
    state.configurations.clear();
    state.configurations.push_back(indexed_configuration {last.index, last.configuration});
    work.actions.emplace_back(persist_snapshot {state.latestSnapshot, true});
}

} // namespace

void takeAppendRequest(replica_work work, const replica_id &from, const append_request &request)
{
    replica_state &state = work.state;
    if (!acceptLeader(work, from, request.term)) {
        work.answer(from, append_answer {state.term, request.round, false, request.previousIndex});
        return;
    }
    if (!isMatch(state, request)) {
        work.answer(from,
                    append_answer {state.term, request.round, false,
                                   retryIndex(state, request.previousIndex)});
        return;
    }
    if (!storeEntries(work, request.entries))
        return;
    const base::generation last(request.previousIndex.value() + request.entries.size());
    work.answer(
        from,
        append_answer {state.term, request.round, true, std::max(last, state.log.baseIndex())});
    commitUpTo(work, std::min(request.commit, last));
}

void takeSnapshotPiece(replica_work work, const replica_id &from, const snapshot_piece &piece)
{
    replica_state &state = work.state;
    if (!acceptLeader(work, from, piece.term)) {
        work.answer(from, append_answer {state.term, piece.round, false, piece.index});
        return;
    }
    if (piece.index <= state.commit) {
        work.answer(from, append_answer {state.term, piece.round, true, state.commit});
        return;
    }
    incoming_snapshot &incoming = state.incoming;
    if (incoming.leaderTerm != piece.term || incoming.index != piece.index)
        incoming = incoming_snapshot {piece.term, piece.index, {}};
    if (piece.offset == incoming.bytes.size())
        incoming.bytes += piece.bytes;
    if (incoming.bytes.size() < piece.totalBytes) {
        work.answer(from,
                    snapshot_answer {state.term, piece.round, piece.index, incoming.bytes.size()});
        return;
    }
    installSnapshot(work, piece);
    work.answer(from, append_answer {state.term, piece.round, true, piece.index});
}

bool forwardToLeader(replica_work work, const proposal &wanted)
{
    const follower_role *follower = work.roleAs<follower_role>();
    if (follower == nullptr || !follower->leader || !work.state.isFormed())
        return false;
    const configuration_member *leader = work.state.members().find(*follower->leader);
    if (leader == nullptr)
        return false;
    work.send(*leader, forwarded_proposal {wanted});
    return true;
}

} // namespace lycheeshunt::replication::internal
