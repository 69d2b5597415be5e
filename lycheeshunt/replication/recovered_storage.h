#pragma once

#include "lycheeshunt/replication/hard_state.h"
#include "lycheeshunt/replication/log_entry.h"
#include "lycheeshunt/replication/snapshot.h"

#include <vector>

namespace lycheeshunt::replication {

// Contents of a data folder when it was opened.
struct recovered_storage
{
    const storage_id storage;
    const hard_state hard = {};
    // Null when there is no snapshot.
    const shared_snapshot snapshot;
    // The entries after the snapshot.
    const std::vector<log_entry> entries = {};
    // Number of bytes of an incomplete, never acknowledged write that were truncated from the log.
    const std::uint64_t tornBytes = 0;

    bool operator==(const recovered_storage &) const = default;
};

} // namespace lycheeshunt::replication
