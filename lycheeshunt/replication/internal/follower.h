// Message handlers of a follower.

#pragma once

#include "lycheeshunt/replication/internal/replica_context.h"

namespace lycheeshunt::replication::internal {

void handleAppendRequest(replica_context context, const replica_id &from,
                         const append_request &request);
void handleSnapshotPiece(replica_context context, const replica_id &from,
                         const snapshot_piece &piece);

// Returns false when no leader is known.
bool forwardToLeader(replica_context context, const proposal &forwarded);

} // namespace lycheeshunt::replication::internal
