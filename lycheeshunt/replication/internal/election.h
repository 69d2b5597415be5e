// Leader election: terms, pre-votes and votes.

#pragma once

#include "lycheeshunt/replication/internal/replica_context.h"

namespace lycheeshunt::replication::internal {

// True for a while after the start if this VM has not heard from a leader since.
bool isInFirstElection(const replica_state &state);
void restartElectionTimer(replica_state &state);
// Brings the election forward when this replica has just started, no leader has been heard of and a
// quorum is reachable. Called when a presence message arrives.
void shortenFirstElectionTimeout(replica_state &state);

// Leaves any other role. A greater term clears the vote and is persisted first.
void becomeFollower(replica_context context, std::uint64_t term,
                    std::optional<base::node_id> leader);

// Starts an election with a pre-vote round. Only restarts the timer on a replica that is no voter.
void campaign(replica_context context);

void handleVoteRequest(replica_context context, const replica_id &from,
                       const vote_request &request);
void handleVoteAnswer(replica_context context, const replica_id &from, const vote_answer &answer);

} // namespace lycheeshunt::replication::internal
