#include "lycheeshunt/replication/internal/leader.h"

#include "lycheeshunt/replication/internal/commit.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/follower.h"
#include "lycheeshunt/replication/internal/membership_change.h"
#include "lycheeshunt/replication/internal/reads.h"

namespace lycheeshunt::replication::internal {

namespace {

const configuration_member *memberOf(const replica_state &state, const replica_id &from)
{
    const configuration_member *member = state.members().find(from.node);
    return member != nullptr && member->storage == from.storage ? member : nullptr;
}

// Progress of a member. Null when this replica is not the leader or the sender is not a member.
peer_progress *progressOf(replica_context context, const replica_id &from)
{
    leader_role *leader = context.roleAs<leader_role>();
    if (leader == nullptr || memberOf(context.state, from) == nullptr)
        return nullptr;
    const auto found = leader->progress.find(from.node);
    return found == leader->progress.end() ? nullptr : &found->second;
}

// Records that the member is alive and which round it answered. Null if the answer is not for this
// leader and term.
peer_progress *recordAnswer(replica_context context, const replica_id &from, std::uint64_t term,
                            std::uint64_t heartbeatRound)
{
    if (term > context.state.term) {
        becomeFollower(context, term, std::nullopt);
        return nullptr;
    }
    peer_progress *progress = progressOf(context, from);
    if (progress == nullptr || term < context.state.term)
        return nullptr;
    progress->lastHeard = context.state.now;
    progress->lastAnsweredRound = std::max(progress->lastAnsweredRound, heartbeatRound);
    return progress;
}

// Starts tracking every member whose disk is not in the earlier configuration.
void startProgressOfNewMembers(replica_context context, leader_role &leader,
                               const configuration &earlier, base::generation next)
{
    const replica_state &state = context.state;
    for (const configuration_member &member : state.members().members) {
        const configuration_member *earlierMember = earlier.find(member.id().node);
        if (member.id().node == state.self
            || (earlierMember != nullptr && earlierMember->id() == member.id()))
            continue;
        peer_progress added;
        added.next = next;
        added.lastHeard = state.now;
        leader.progress[member.id().node] = added;
    }
}

void sendSnapshotPiece(replica_context context, const configuration_member &member,
                       peer_progress &progress)
{
    const snapshot &latest = *context.state.latestSnapshot;
    const std::size_t offset
        = std::min<std::size_t>(progress.snapshotOffset, latest.entries.size());
    const leader_role &leader = *context.roleAs<leader_role>();
    context.send(
        member,
        snapshot_piece {context.state.term, leader.heartbeatRound, latest.index, latest.term,
                        latest.configuration, latest.entries.size(), offset,
                        latest.entries.substr(offset, context.bounds().snapshotPieceBytes)});
    progress.isInFlight = true;
    progress.sentAt = context.state.now;
    progress.sentFrom = progress.next;
}

void sendHeartbeat(replica_context context, const configuration_member &member,
                   const peer_progress &progress)
{
    const leader_role &leader = *context.roleAs<leader_role>();
    const std::optional<std::uint64_t> term = context.state.log.termAt(progress.match);
    const base::generation previous = term ? progress.match : base::generation();
    context.send(member,
                 append_request {context.state.term, leader.heartbeatRound, previous,
                                 term.value_or(0), std::min(context.state.commit, previous)});
}

bool hasLostQuorum(const replica_context &context, const leader_role &leader)
{
    const replica_state &state = context.state;
    std::size_t heard = 0;
    for (const configuration_member &member : state.members().members) {
        const auto found = leader.progress.find(member.id().node);
        const bool isHeard = member.id() == state.id()
            || (found != leader.progress.end()
                && state.now - found->second.lastHeard < context.timing().electionMin);
        heard += member.isVoter && isHeard ? 1 : 0;
    }
    return !state.members().isQuorum(heard);
}

void refuse(replica_context context, const proposal &refused, const base::error &reason)
{
    context.actions.emplace_back(proposal_refused {refused.kind, refused.token, reason});
}

} // namespace

void becomeLeader(replica_context context)
{
    replica_state &state = context.state;
    leader_role leader;
    leader.firstIndexOfTerm = after(state.log.lastIndex());
    startProgressOfNewMembers(context, leader, configuration {}, leader.firstIndexOfTerm);
    state.role = std::move(leader);
    appendAndReplicate(context, {proposal {}});
}

void appendAndReplicate(replica_context context, const std::vector<proposal> &proposals)
{
    replica_state &state = context.state;
    const configuration earlier = state.members();
    std::vector<log_entry> entries;
    for (const proposal &requested : proposals) {
        const log_entry entry {after(state.log.lastIndex()), state.term, requested.kind,
                               requested.proposedAt, requested.payload};
        state.log.append(entry);
        addConfiguration(state, entry);
        entries.push_back(entry);
    }
    // A new disk is empty, so replication to it starts at the first entry of the log.
    startProgressOfNewMembers(context, *context.roleAs<leader_role>(), earlier,
                              base::generation(1));
    for (const configuration_member &member : state.members().members)
        sendMissingEntries(context, member);
    // The entries are sent before this replica writes them, so that all write in parallel. It
    // counts toward the quorum only after its own sync: what advanceCommit() adds comes after the
    // write.
    context.actions.emplace_back(persist_entries {std::move(entries)});
    advanceCommit(context);
}

void handleProposals(replica_context context, const propose_entries &message)
{
    replica_state &state = context.state;
    const leader_role *leader = context.roleAs<leader_role>();
    std::vector<proposal> accepted;
    for (const proposal &requested : message.proposals) {
        const std::size_t uncommitted
            = state.log.lastIndex().value() - state.commit.value() + accepted.size();
        if (requested.payload.size() > context.bounds().payloadBytes)
            refuse(context, requested, {base::error_code::messageTooLarge, "proposal"});
        else if (leader != nullptr && uncommitted >= context.bounds().uncommittedEntries)
            refuse(context, requested, {base::error_code::tooBusy, "too many uncommitted entries"});
        else if (leader != nullptr)
            accepted.push_back(requested);
        else if (requested.kind == entry_kind::membership && forwardToLeader(context, requested))
            continue;
        else
            refuse(context, requested, notLeaderError(state));
    }
    if (!accepted.empty())
        appendAndReplicate(context, accepted);
}

void handleForwardedProposal(replica_context context, const forwarded_proposal &message)
{
    if (context.roleAs<leader_role>() != nullptr && message.proposal.kind == entry_kind::membership)
        handleProposals(context, propose_entries {{message.proposal}});
}

void sendHeartbeats(replica_context context)
{
    leader_role &leader = *context.roleAs<leader_role>();
    leader.nextHeartbeat = context.state.now + context.timing().heartbeatInterval;
    for (const configuration_member &member : context.state.members().members) {
        if (member.id() == context.state.id())
            continue;
        peer_progress &progress = leader.progress[member.id().node];
        if (progress.isInFlight
            && context.state.now - progress.sentAt >= context.timing().retransmitTimeout) {
            progress.isInFlight = false;
            progress.next = progress.sentFrom;
        }
        sendHeartbeat(context, member, progress);
        sendMissingEntries(context, member);
    }
}

void greetReturningMember(replica_context context, const replica_id &from)
{
    const peer_progress *progress = progressOf(context, from);
    const base::clock_time usualSilence = context.timing().heartbeatInterval * 2;
    if (progress != nullptr && context.state.now - progress->lastHeard > usualSilence)
        sendHeartbeat(context, *memberOf(context.state, from), *progress);
}

void sendMissingEntries(replica_context context, const configuration_member &member)
{
    replica_state &state = context.state;
    leader_role &leader = *context.roleAs<leader_role>();
    const auto found = leader.progress.find(member.id().node);
    if (found == leader.progress.end() || found->second.isInFlight
        || found->second.next > state.log.lastIndex())
        return;
    peer_progress &progress = found->second;
    const base::generation previous = before(progress.next);
    const std::optional<std::uint64_t> previousTerm = state.log.termAt(previous);
    if (!previousTerm) {
        sendSnapshotPiece(context, member, progress);
        return;
    }
    std::vector<log_entry> entries = state.log.from(progress.next, context.bounds().appendEntries,
                                                    context.bounds().appendBytes);
    const base::generation last = entries.back().index;
    context.send(member,
                 append_request {state.term, leader.heartbeatRound, previous, *previousTerm,
                                 std::min(state.commit, last), std::move(entries)});
    progress.isInFlight = true;
    progress.sentAt = state.now;
    progress.sentFrom = progress.next;
    progress.next = after(last);
}

void handleAppendAnswer(replica_context context, const replica_id &from,
                        const append_answer &answer)
{
    replica_state &state = context.state;
    peer_progress *progress = recordAnswer(context, from, answer.term, answer.heartbeatRound);
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
    sendMissingEntries(context, *memberOf(state, from));
    advanceCommit(context);
    confirmReads(context);
}

void handleSnapshotAnswer(replica_context context, const replica_id &from,
                          const snapshot_answer &answer)
{
    replica_state &state = context.state;
    peer_progress *progress = recordAnswer(context, from, answer.term, answer.heartbeatRound);
    if (progress == nullptr)
        return;
    const bool isPresent = state.latestSnapshot && state.latestSnapshot->index == answer.index;
    // A duplicate answer must not send the same piece again.
    if (isPresent && progress->isInFlight && progress->snapshotOffset == answer.nextOffset)
        return;
    progress->snapshotOffset = isPresent ? answer.nextOffset : 0;
    progress->isInFlight = false;
    sendMissingEntries(context, *memberOf(state, from));
}

void leaderTick(replica_context context)
{
    leader_role &leader = *context.roleAs<leader_role>();
    if (hasLostQuorum(context, leader)) {
        becomeFollower(context, context.state.term, std::nullopt);
        return;
    }
    if (context.state.now >= leader.nextHeartbeat) {
        ++leader.heartbeatRound;
        sendHeartbeats(context);
    }
    proposeMembershipChange(context);
}

void advanceCommit(replica_context context)
{
    replica_state &state = context.state;
    const leader_role &leader = *context.roleAs<leader_role>();
    const base::generation reached(quorumValue(state, [&](const configuration_member &member) {
        if (member.id() == state.id())
            return state.log.lastIndex().value();
        const auto found = leader.progress.find(member.id().node);
        return found == leader.progress.end() ? 0 : found->second.match.value();
    }));
    if (reached >= leader.firstIndexOfTerm)
        commitUpTo(context, reached);
}

} // namespace lycheeshunt::replication::internal
