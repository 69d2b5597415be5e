#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// The duties must take this in place of all that they know: what a snapshot amounts to, after a
// start or from the leader. `at` is the last entry that it covers.
struct state_restored
{
    const base::generation at;
    const std::vector<log_entry> entries = {};

    bool operator==(const state_restored &) const = default;
};

} // namespace lycheeshunt::replication
