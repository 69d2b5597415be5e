#include "lycheeshunt/replication/internal/election.h"

#include "lycheeshunt/replication/internal/leader.h"
#include "lycheeshunt/replication/internal/reads.h"

namespace lycheeshunt::replication::internal {

namespace {

bool isUpToDate(const replica_state &state, const vote_request &request)
{
    if (request.lastTerm != state.log.lastTerm())
        return request.lastTerm > state.log.lastTerm();
    return request.lastIndex >= state.log.lastIndex();
}

// Votes are refused while the leader is alive, so that a partitioned replica cannot depose it on
// return.
bool hasLiveLeader(const replica_context &context)
{
    if (context.roleAs<leader_role>() != nullptr)
        return true;
    const follower_role *follower = context.roleAs<follower_role>();
    return follower != nullptr && follower->leader
        && context.state.now - context.state.lastLeaderContact < context.timing().electionMin;
}

void setRandomDeadline(replica_state &state, base::clock_time shortest, base::clock_time longest)
{
    std::uniform_int_distribution<std::int64_t> distribution(shortest.millis(), longest.millis());
    state.electionDeadline = state.now + base::clock_time::ofMillis(distribution(state.random));
}

bool isQuorumReachable(const replica_state &state)
{
    std::size_t heard = 1;
    for (const configuration_member &member : state.members().members) {
        const auto found = state.presences.find(member.id().node);
        const bool isHeard = found != state.presences.end()
            && state.now - found->second.lastHeard < state.settings->timing.presenceTimeout;
        heard += member.isVoter && member.id() != state.id() && isHeard ? 1 : 0;
    }
    return state.members().isQuorum(heard);
}

void requestVotes(replica_context context, std::uint64_t term, bool isPreVote)
{
    const vote_request request {term, isPreVote, context.state.log.lastIndex(),
                                context.state.log.lastTerm()};
    for (const configuration_member &member : context.state.members().members) {
        if (member.isVoter && member.id() != context.state.id())
            context.send(member, request);
    }
}

void startElection(replica_context context)
{
    replica_state &state = context.state;
    ++state.term;
    state.votedNode = state.self;
    state.votedStorage = state.storage;
    context.persistHardState();
    state.role = candidate_role {false, {state.self}};
    if (state.members().isQuorum(1)) {
        becomeLeader(context);
        return;
    }
    requestVotes(context, state.term, false);
}

void grantVote(replica_context context, const replica_id &from)
{
    replica_state &state = context.state;
    if (state.vote() == from)
        return;
    state.votedNode = from.node;
    state.votedStorage = from.storage;
    context.persistHardState();
    restartElectionTimer(state);
}

} // namespace

bool isInFirstElection(const replica_state &state)
{
    return state.lastLeaderContact == base::clock_time()
        && !std::holds_alternative<leader_role>(state.role)
        && state.now - state.startedAt < state.settings->timing.firstElectionPeriod;
}

void restartElectionTimer(replica_state &state)
{
    const replica_timing &timing = state.settings->timing;
    if (isInFirstElection(state))
        setRandomDeadline(state, timing.firstElectionMin, timing.firstElectionMax);
    else
        setRandomDeadline(state, timing.electionMin, timing.electionMax);
}

// VMs that started before a quorum was up may have backed off after a failed pre-vote; they need
// not wait for the rest of that timeout.
void shortenFirstElectionTimeout(replica_state &state)
{
    const bool isEligible = state.isFormed() && state.members().isVoter(state.id());
    if (!isEligible || !isInFirstElection(state) || !isQuorumReachable(state))
        return;
    const base::clock_time before = state.electionDeadline;
    const replica_timing &timing = state.settings->timing;
    setRandomDeadline(state, timing.quorumReachableMin, timing.quorumReachableMax);
    state.electionDeadline = std::min(before, state.electionDeadline);
}

void becomeFollower(replica_context context, std::uint64_t term,
                    std::optional<base::node_id> leader)
{
    replica_state &state = context.state;
    refusePendingReads(context);
    if (term > state.term) {
        state.term = term;
        state.votedNode = base::node_id();
        state.votedStorage = storage_id();
        context.persistHardState();
    }
    state.role = follower_role {leader};
    restartElectionTimer(state);
}

void campaign(replica_context context)
{
    replica_state &state = context.state;
    restartElectionTimer(state);
    if (!state.isFormed() || !state.members().isVoter(state.id()))
        return;
    state.role = candidate_role {true, {state.self}};
    if (state.members().isQuorum(1))
        startElection(context);
    else
        requestVotes(context, state.term + 1, true);
}

void handleVoteRequest(replica_context context, const replica_id &from, const vote_request &request)
{
    replica_state &state = context.state;
    const bool isRefused = request.term < state.term || hasLiveLeader(context);
    if (!isRefused && !request.isPreVote && request.term > state.term)
        becomeFollower(context, request.term, std::nullopt);
    const bool isVoteAvailable
        = request.isPreVote || state.votedNode == base::node_id() || state.vote() == from;
    const bool isNewTerm = !request.isPreVote || request.term > state.term;
    const bool isGranted = !isRefused && isVoteAvailable && isNewTerm && isUpToDate(state, request);
    if (isGranted && !request.isPreVote)
        grantVote(context, from);
    context.sendTo(from, vote_answer {state.term, request.term, request.isPreVote, isGranted});
}

void handleVoteAnswer(replica_context context, const replica_id &from, const vote_answer &answer)
{
    replica_state &state = context.state;
    if (answer.term > state.term && !answer.isGranted) {
        becomeFollower(context, answer.term, std::nullopt);
        return;
    }
    candidate_role *candidate = context.roleAs<candidate_role>();
    const std::uint64_t expectedTerm = state.term + (answer.isPreVote ? 1 : 0);
    if (candidate == nullptr || candidate->isPreVote != answer.isPreVote || !answer.isGranted
        || answer.requestTerm != expectedTerm || !state.members().isVoter(from))
        return;
    candidate->granted.insert(from.node);
    if (!state.members().isQuorum(candidate->granted.size()))
        return;
    if (answer.isPreVote)
        startElection(context);
    else
        becomeLeader(context);
}

} // namespace lycheeshunt::replication::internal
