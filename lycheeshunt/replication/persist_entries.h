#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <vector>

namespace lycheeshunt::replication {

// Action: append the entries to the log on disk and sync it.
struct persist_entries
{
    const std::vector<log_entry> entries = {};

    bool operator==(const persist_entries &) const = default;
};

} // namespace lycheeshunt::replication
