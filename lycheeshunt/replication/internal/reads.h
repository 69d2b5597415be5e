// Linearizable reads: the leader confirms a read once a quorum has answered a heartbeat that was
// sent after the read arrived.

#pragma once

#include "lycheeshunt/replication/internal/replica_context.h"

namespace lycheeshunt::replication::internal {

void handleReadRequest(replica_context context, const read_request &read);

// Confirms the reads whose heartbeat round a quorum has answered.
void confirmReads(replica_context context);

// Called when leadership ends; does nothing on a replica that is not the leader.
void refusePendingReads(replica_context context);

// notLeader with the leader's name, quorumLost while no leader is known, or the storage error of a
// failed replica.
base::error notLeaderError(const replica_state &state);

} // namespace lycheeshunt::replication::internal
