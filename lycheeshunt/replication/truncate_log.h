#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Action: remove the entry at this index and all later ones from the log on disk. None of them is
// committed.
struct truncate_log
{
    const base::generation from;

    bool operator==(const truncate_log &) const = default;
};

} // namespace lycheeshunt::replication
