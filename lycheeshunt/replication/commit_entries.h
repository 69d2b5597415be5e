#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// Hand these to the duties, in this order; they will never change.
struct commit_entries
{
    const std::vector<log_entry> entries = {};

    bool operator==(const commit_entries &) const = default;
};

} // namespace lycheeshunt::replication
