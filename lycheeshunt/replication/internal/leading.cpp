#include "lycheeshunt/replication/internal/leading.h"

#include "lycheeshunt/replication/internal/commit.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/following.h"
#include "lycheeshunt/replication/internal/membership_change.h"
#include "lycheeshunt/replication/internal/reads.h"

namespace lycheeshunt::replication::internal {

namespace {

const configuration_member *memberOf(const replica_state &state, const replica_id &from)
{
    const configuration_member *member = state.members().find(from.node);
    return member != nullptr && member->storage == from.storage ? member : nullptr;
}

// The progress kept for a member, or null when this replica does not lead it.
peer_progress *progressOf(replica_work work, const replica_id &from)
{
    leader_role *leader = work.roleAs<leader_role>();
    if (leader == nullptr || memberOf(work.state, from) == nullptr)
        return nullptr;
    const auto found = leader->progress.find(from.node);
    return found == leader->progress.end() ? nullptr : &found->second;
}

// Notes a sign of life. Null unless this replica leads the sender in the answer's term.
peer_progress *hearAnswer(replica_work work, const replica_id &from, std::uint64_t term,
                          std::uint64_t round)
{
    if (term > work.state.term) {
        becomeFollower(work, term, std::nullopt);
        return nullptr;
    }
    peer_progress *progress = progressOf(work, from);
    if (progress == nullptr || term < work.state.term)
        return nullptr;
    progress->lastHeard = work.state.now;
    progress->roundAnswered = std::max(progress->roundAnswered, round);
    return progress;
}

// Starts the progress of every member whose disk the earlier configuration does not name.
void followConfiguration(replica_work work, leader_role &leader, const configuration &earlier,
                         base::generation next)
{
    const replica_state &state = work.state;
    for (const configuration_member &member : state.members().members) {
        const configuration_member *known = earlier.find(member.id().node);
        if (member.id().node == state.self || (known != nullptr && known->id() == member.id()))
            continue;
        peer_progress fresh;
        fresh.next = next;
        fresh.lastHeard = state.now;
        leader.progress[member.id().node] = fresh;
    }
}

void sendPiece(replica_work work, const configuration_member &member, peer_progress &progress)
{
    const snapshot &whole = *work.state.latestSnapshot;
    const std::size_t offset = std::min<std::size_t>(progress.snapshotOffset, whole.entries.size());
    const leader_role &leader = *work.roleAs<leader_role>();
    work.send(member,
              snapshot_piece {work.state.term, leader.round, whole.index, whole.term,
                              whole.configuration, whole.entries.size(), offset,
                              whole.entries.substr(offset, work.bounds().pieceBytes)});
    progress.isInFlight = true;
    progress.sentAt = work.state.now;
    progress.sentFrom = progress.next;
}

void sendEmpty(replica_work work, const configuration_member &member, const peer_progress &progress)
{
    const leader_role &leader = *work.roleAs<leader_role>();
    const std::optional<std::uint64_t> term = work.state.log.termAt(progress.match);
    const base::generation previous = term ? progress.match : base::generation();
    work.send(member,
              append_request {work.state.term, leader.round, previous, term.value_or(0),
                              std::min(work.state.commit, previous)});
}

bool hasSilentQuorum(const replica_work &work, const leader_role &leader)
{
    const replica_state &state = work.state;
    std::size_t heard = 0;
    for (const configuration_member &member : state.members().members) {
        const auto found = leader.progress.find(member.id().node);
        const bool isHeard = member.id() == state.id()
            || (found != leader.progress.end()
                && state.now - found->second.lastHeard < work.timing().electionMin);
        heard += member.isVoter && isHeard ? 1 : 0;
    }
    return !state.members().isQuorum(heard);
}

void refuse(replica_work work, const proposal &refused, const base::error &reason)
{
    work.actions.emplace_back(proposal_refused {refused.kind, refused.token, reason});
}

} // namespace

void becomeLeader(replica_work work)
{
    replica_state &state = work.state;
    leader_role leader;
    leader.firstOwn = after(state.log.lastIndex());
    followConfiguration(work, leader, configuration {}, leader.firstOwn);
    state.role = std::move(leader);
    leadEntries(work, {proposal {}});
}

void leadEntries(replica_work work, const std::vector<proposal> &proposals)
{
    replica_state &state = work.state;
    const configuration earlier = state.members();
    std::vector<log_entry> entries;
    for (const proposal &wanted : proposals) {
        const log_entry entry {after(state.log.lastIndex()), state.term, wanted.kind,
                               wanted.proposedAt, wanted.payload};
        state.log.append(entry);
        trackConfiguration(state, entry);
        entries.push_back(entry);
    }
    // A new disk is empty, so it is sent the log from its first entry.
    followConfiguration(work, *work.roleAs<leader_role>(), earlier, base::generation(1));
    for (const configuration_member &member : state.members().members)
        sendLacking(work, member);
    // The others write while this replica does; it counts itself only after its own sync.
    work.actions.emplace_back(persist_entries {std::move(entries)});
    advanceCommit(work);
}

void takeProposals(replica_work work, const propose_entries &message)
{
    replica_state &state = work.state;
    const leader_role *leader = work.roleAs<leader_role>();
    std::vector<proposal> taken;
    for (const proposal &wanted : message.proposals) {
        const std::size_t waiting
            = state.log.lastIndex().value() - state.commit.value() + taken.size();
        if (wanted.payload.size() > work.bounds().payloadBytes)
            refuse(work, wanted, {base::error_code::messageTooLarge, "proposal"});
        else if (leader != nullptr && waiting >= work.bounds().uncommittedEntries)
            refuse(work, wanted, {base::error_code::tooBusy, "entries wait for a quorum"});
        else if (leader != nullptr)
            taken.push_back(wanted);
        else if (wanted.kind == entry_kind::membership && forwardToLeader(work, wanted))
            continue;
        else
            refuse(work, wanted, notLeading(state));
    }
    if (!taken.empty())
        leadEntries(work, taken);
}

void takeForwarded(replica_work work, const forwarded_proposal &message)
{
    if (work.roleAs<leader_role>() != nullptr && message.proposal.kind == entry_kind::membership)
        takeProposals(work, propose_entries {{message.proposal}});
}

void sendHeartbeats(replica_work work)
{
    leader_role &leader = *work.roleAs<leader_role>();
    leader.nextHeartbeat = work.state.now + work.timing().heartbeatEvery;
    for (const configuration_member &member : work.state.members().members) {
        if (member.id() == work.state.id())
            continue;
        peer_progress &progress = leader.progress[member.id().node];
        if (progress.isInFlight && work.state.now - progress.sentAt >= work.timing().resendAfter) {
            progress.isInFlight = false;
            progress.next = progress.sentFrom;
        }
        sendEmpty(work, member, progress);
        sendLacking(work, member);
    }
}

void sendLacking(replica_work work, const configuration_member &member)
{
    replica_state &state = work.state;
    leader_role &leader = *work.roleAs<leader_role>();
    const auto found = leader.progress.find(member.id().node);
    if (found == leader.progress.end() || found->second.isInFlight
        || found->second.next > state.log.lastIndex())
        return;
    peer_progress &progress = found->second;
    const base::generation previous = before(progress.next);
    const std::optional<std::uint64_t> previousTerm = state.log.termAt(previous);
    if (!previousTerm) {
        sendPiece(work, member, progress);
        return;
    }
    std::vector<log_entry> entries
        = state.log.from(progress.next, work.bounds().appendEntries, work.bounds().appendBytes);
    const base::generation last = entries.back().index;
    work.send(member,
              append_request {state.term, leader.round, previous, *previousTerm,
                              std::min(state.commit, last), std::move(entries)});
    progress.isInFlight = true;
    progress.sentAt = state.now;
    progress.sentFrom = progress.next;
    progress.next = after(last);
}

void takeAppendAnswer(replica_work work, const replica_id &from, const append_answer &answer)
{
    replica_state &state = work.state;
    peer_progress *progress = hearAnswer(work, from, answer.term, answer.round);
    if (progress == nullptr || answer.index > after(state.log.lastIndex()))
        return;
    if (answer.isMatch && answer.index > progress->match) {
        progress->match = answer.index;
        progress->snapshotOffset = 0;
    }
    if (answer.isMatch && progress->match >= before(progress->next))
        progress->isInFlight = false;
    if (!answer.isMatch) {
        progress->next = std::max(after(progress->match), std::min(progress->next, answer.index));
        progress->isInFlight = false;
    }
    progress->next = std::max(progress->next, after(progress->match));
    sendLacking(work, *memberOf(state, from));
    advanceCommit(work);
    settleReads(work);
}

void takeSnapshotAnswer(replica_work work, const replica_id &from, const snapshot_answer &answer)
{
    replica_state &state = work.state;
    peer_progress *progress = hearAnswer(work, from, answer.term, answer.round);
    if (progress == nullptr)
        return;
    const bool isPresent = state.latestSnapshot && state.latestSnapshot->index == answer.index;
    // An answer that comes twice must not send the same piece twice.
    if (isPresent && progress->isInFlight && progress->snapshotOffset == answer.nextOffset)
        return;
    progress->snapshotOffset = isPresent ? answer.nextOffset : 0;
    progress->isInFlight = false;
    sendLacking(work, *memberOf(state, from));
}

void leaderTick(replica_work work)
{
    leader_role &leader = *work.roleAs<leader_role>();
    if (hasSilentQuorum(work, leader)) {
        becomeFollower(work, work.state.term, std::nullopt);
        return;
    }
    if (work.state.now >= leader.nextHeartbeat) {
        ++leader.round;
        sendHeartbeats(work);
    }
    changeMembers(work);
}

void advanceCommit(replica_work work)
{
    replica_state &state = work.state;
    const leader_role &leader = *work.roleAs<leader_role>();
    const base::generation reached(quorumValue(state, [&](const configuration_member &member) {
        if (member.id() == state.id())
            return state.log.lastIndex().value();
        const auto found = leader.progress.find(member.id().node);
        return found == leader.progress.end() ? 0 : found->second.match.value();
    }));
    if (reached >= leader.firstOwn)
        commitUpTo(work, reached);
}

} // namespace lycheeshunt::replication::internal
