#pragma once

#include "lycheeshunt/replication/hard_state.h"
#include "lycheeshunt/replication/log_entry.h"
#include "lycheeshunt/replication/snapshot.h"

#include <vector>

namespace lycheeshunt::replication {

// What a data folder held when it was opened.
struct recovered_storage
{
    const storage_id storage;
    const hard_state hard = {};
    // Null when none was taken.
    const shared_snapshot snapshot;
    // The entries after the snapshot.
    const std::vector<log_entry> entries = {};
    // Bytes of a write that was never acknowledged, cut off the end of the log.
    const std::uint64_t tornBytes = 0;

    bool operator==(const recovered_storage &) const = default;
};

} // namespace lycheeshunt::replication
