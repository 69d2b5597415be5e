#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::replication {

// Remove the entry at this index and all after it; none of them was committed.
struct truncate_log
{
    const base::generation from;

    bool operator==(const truncate_log &) const = default;
};

} // namespace lycheeshunt::replication
