#pragma once

#include "lycheeshunt/replication/snapshot.h"

namespace lycheeshunt::replication {

// Action: write and sync the snapshot, then remove the log entries that it covers.
struct persist_snapshot
{
    const shared_snapshot snapshot;
    // True for a snapshot received from the leader: it replaces the whole log, and the duties must
    // restore their state from it.
    const bool isInstalled = false;

    bool operator==(const persist_snapshot &) const = default;
};

} // namespace lycheeshunt::replication
