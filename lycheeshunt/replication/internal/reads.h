// Reads that are answered as current: a leader confirms them once a quorum has answered it after
// they came.

#pragma once

#include "lycheeshunt/replication/internal/replica_work.h"

namespace lycheeshunt::replication::internal {

void takeRead(replica_work work, const read_request &read);

// Confirms the reads whose round a quorum has answered.
void settleReads(replica_work work);

// On leaving leadership; does nothing on other replicas.
void refuseReads(replica_work work);

// notLeader with the leader's name, or quorumLost while no leader is known.
base::error notLeading(const replica_state &state);

} // namespace lycheeshunt::replication::internal
