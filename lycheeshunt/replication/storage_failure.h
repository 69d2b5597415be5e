#pragma once

#include "lycheeshunt/base/error.h"

namespace lycheeshunt::replication {

// A write or sync failed; what the disk holds is unknown until the process starts again.
struct storage_failure
{
    const base::error failure;

    bool operator==(const storage_failure &) const = default;
};

} // namespace lycheeshunt::replication
