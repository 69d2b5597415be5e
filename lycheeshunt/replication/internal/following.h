// What a follower does with what its leader sends.

#pragma once

#include "lycheeshunt/replication/internal/replica_work.h"

namespace lycheeshunt::replication::internal {

void takeAppendRequest(replica_work work, const replica_id &from, const append_request &request);
void takeSnapshotPiece(replica_work work, const replica_id &from, const snapshot_piece &piece);

// False when no leader is known.
bool forwardToLeader(replica_work work, const proposal &wanted);

} // namespace lycheeshunt::replication::internal
