// Committing entries and folding them into snapshots.

#pragma once

#include "lycheeshunt/replication/internal/replica_work.h"

namespace lycheeshunt::replication::internal {

// Hands over what is newly committed; never goes back.
void commitUpTo(replica_work work, base::generation index);

// Replaces the log up to the snapshot's index. A snapshot of something uncommitted is ignored.
void takeSnapshotTaken(replica_work work, const snapshot_taken &taken);

} // namespace lycheeshunt::replication::internal
