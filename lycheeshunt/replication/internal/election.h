// Terms, pre-votes and votes.

#pragma once

#include "lycheeshunt/replication/internal/replica_work.h"

namespace lycheeshunt::replication::internal {

void restartElectionTimer(replica_state &state);
// Called when another VM was heard: where a quorum is up and nobody has led yet, there is no reason
// to wait any longer.
void hurryFirstElection(replica_state &state);

// Leaves any other role. A greater term is persisted first, and the vote forgotten.
void becomeFollower(replica_work work, std::uint64_t term, std::optional<base::node_id> leader);

// Starts with pre-votes; does nothing on a replica that does not vote.
void campaign(replica_work work);

void takeVoteRequest(replica_work work, const replica_id &from, const vote_request &request);
void takeVoteAnswer(replica_work work, const replica_id &from, const vote_answer &answer);

} // namespace lycheeshunt::replication::internal
