#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// Action: pass these committed entries to the duties, in log order.
struct commit_entries
{
    const std::vector<log_entry> entries = {};

    bool operator==(const commit_entries &) const = default;
};

} // namespace lycheeshunt::replication
