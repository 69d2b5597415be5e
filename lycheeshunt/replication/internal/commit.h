// Committing log entries and replacing them by snapshots.

#pragma once

#include "lycheeshunt/replication/internal/replica_context.h"

namespace lycheeshunt::replication::internal {

// Passes newly committed entries to the duties. Does nothing if `index` is already committed.
void commitUpTo(replica_context context, base::generation index);

// Discards the log up to the snapshot's index. A snapshot that covers uncommitted entries is
// ignored.
void handleSnapshotTaken(replica_context context, const snapshot_taken &taken);

} // namespace lycheeshunt::replication::internal
