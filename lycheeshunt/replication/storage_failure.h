#pragma once

#include "lycheeshunt/base/error.h"

namespace lycheeshunt::replication {

// A write or sync has failed. The contents of the disk are unknown until it is opened again.
struct storage_failure
{
    const base::error failure;

    bool operator==(const storage_failure &) const = default;
};

} // namespace lycheeshunt::replication
