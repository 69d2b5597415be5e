#pragma once

#include "lycheeshunt/replication/snapshot.h"

namespace lycheeshunt::replication {

// Sync the snapshot, then drop the log that it covers.
struct persist_snapshot
{
    const shared_snapshot snapshot;
    // True when the snapshot came from the leader: the log holds nothing that goes with it, and
    // the duties have not seen what it says.
    const bool isInstalled = false;

    bool operator==(const persist_snapshot &) const = default;
};

} // namespace lycheeshunt::replication
