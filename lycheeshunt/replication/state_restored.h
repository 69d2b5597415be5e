#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// Notice: the duties must replace their state with that of a snapshot, which was read at the start
// or received from the leader. `at` is the index of the last entry that it covers.
struct state_restored
{
    const base::generation at;
    const std::vector<log_entry> entries = {};

    bool operator==(const state_restored &) const = default;
};

} // namespace lycheeshunt::replication
