#include "lycheeshunt/replication/internal/election.h"

#include "lycheeshunt/replication/internal/leading.h"
#include "lycheeshunt/replication/internal/reads.h"

namespace lycheeshunt::replication::internal {

namespace {

bool isUpToDate(const replica_state &state, const vote_request &request)
{
    if (request.lastTerm != state.log.lastTerm())
        return request.lastTerm > state.log.lastTerm();
    return request.lastIndex >= state.log.lastIndex();
}

// A replica that hears from its leader lets nobody unseat it.
bool hasLiveLeader(const replica_work &work)
{
    if (work.roleAs<leader_role>() != nullptr)
        return true;
    const follower_role *follower = work.roleAs<follower_role>();
    return follower != nullptr && follower->leader
        && work.state.now - work.state.lastLeaderContact < work.timing().electionMin;
}

void drawDeadline(replica_state &state, base::clock_time least, base::clock_time most)
{
    std::uniform_int_distribution<std::int64_t> span(least.millis(), most.millis());
    state.electionDeadline = state.now + base::clock_time::ofMillis(span(state.random));
}

// Nobody has led since this VM started, as far as it knows.
bool isInFirstElection(const replica_state &state)
{
    return state.lastLeaderContact == base::clock_time()
        && !std::holds_alternative<leader_role>(state.role)
        && state.now - state.startedAt < state.settings->timing.firstElectionsFor;
}

bool hearsQuorum(const replica_state &state)
{
    std::size_t heard = 1;
    for (const configuration_member &member : state.members().members) {
        const auto found = state.presences.find(member.id().node);
        const bool isHeard = found != state.presences.end()
            && state.now - found->second.lastHeard < state.settings->timing.presenceValid;
        heard += member.isVoter && member.id() != state.id() && isHeard ? 1 : 0;
    }
    return state.members().isQuorum(heard);
}

void askForVotes(replica_work work, std::uint64_t term, bool isPreVote)
{
    const vote_request request {term, isPreVote, work.state.log.lastIndex(),
                                work.state.log.lastTerm()};
    for (const configuration_member &member : work.state.members().members) {
        if (member.isVoter && member.id() != work.state.id())
            work.send(member, request);
    }
}

void startElection(replica_work work)
{
    replica_state &state = work.state;
    ++state.term;
    state.votedNode = state.self;
    state.votedStorage = state.storage;
    work.persistHardState();
    state.role = candidate_role {false, {state.self}};
    if (state.members().isQuorum(1)) {
        becomeLeader(work);
        return;
    }
    askForVotes(work, state.term, false);
}

void grantVote(replica_work work, const replica_id &from)
{
    replica_state &state = work.state;
    if (state.vote() == from)
        return;
    state.votedNode = from.node;
    state.votedStorage = from.storage;
    work.persistHardState();
    restartElectionTimer(state);
}

} // namespace

void restartElectionTimer(replica_state &state)
{
    const replica_timing &timing = state.settings->timing;
    if (isInFirstElection(state))
        drawDeadline(state, timing.firstElectionMin, timing.firstElectionMax);
    else
        drawDeadline(state, timing.electionMin, timing.electionMax);
}

// Early starters have asked for votes in vain: they need not wait for their timers.
void hurryFirstElection(replica_state &state)
{
    const bool mayLead = state.isFormed() && state.members().isVoter(state.id());
    if (!mayLead || !isInFirstElection(state) || !hearsQuorum(state))
        return;
    const base::clock_time before = state.electionDeadline;
    const replica_timing &timing = state.settings->timing;
    drawDeadline(state, timing.quorumSeenMin, timing.quorumSeenMax);
    state.electionDeadline = std::min(before, state.electionDeadline);
}

void becomeFollower(replica_work work, std::uint64_t term, std::optional<base::node_id> leader)
{
    replica_state &state = work.state;
    refuseReads(work);
    if (term > state.term) {
        state.term = term;
        state.votedNode = base::node_id();
        state.votedStorage = storage_id();
        work.persistHardState();
    }
    state.role = follower_role {leader};
    restartElectionTimer(state);
}

void campaign(replica_work work)
{
    replica_state &state = work.state;
    restartElectionTimer(state);
    if (!state.isFormed() || !state.members().isVoter(state.id()))
        return;
    state.role = candidate_role {true, {state.self}};
    if (state.members().isQuorum(1))
        startElection(work);
    else
        askForVotes(work, state.term + 1, true);
}

void takeVoteRequest(replica_work work, const replica_id &from, const vote_request &request)
{
    replica_state &state = work.state;
    const bool isRefused = request.term < state.term || hasLiveLeader(work);
    if (!isRefused && !request.isPreVote && request.term > state.term)
        becomeFollower(work, request.term, std::nullopt);
    const bool isFree
        = request.isPreVote || state.votedNode == base::node_id() || state.vote() == from;
    const bool isNewTerm = !request.isPreVote || request.term > state.term;
    const bool isGranted = !isRefused && isFree && isNewTerm && isUpToDate(state, request);
    if (isGranted && !request.isPreVote)
        grantVote(work, from);
    work.answer(from, vote_answer {state.term, request.term, request.isPreVote, isGranted});
}

void takeVoteAnswer(replica_work work, const replica_id &from, const vote_answer &answer)
{
    replica_state &state = work.state;
    if (answer.term > state.term && !answer.isGranted) {
        becomeFollower(work, answer.term, std::nullopt);
        return;
    }
    candidate_role *candidate = work.roleAs<candidate_role>();
    const std::uint64_t asked = state.term + (answer.isPreVote ? 1 : 0);
    if (candidate == nullptr || candidate->isPreVote != answer.isPreVote || !answer.isGranted
        || answer.requestTerm != asked || !state.members().isVoter(from))
        return;
    candidate->granted.insert(from.node);
    if (!state.members().isQuorum(candidate->granted.size()))
        return;
    if (answer.isPreVote)
        startElection(work);
    else
        becomeLeader(work);
}

} // namespace lycheeshunt::replication::internal
