#pragma once

#include "lycheeshunt/membership/membership_batch.h"

namespace lycheeshunt::membership {

// The log has committed membership changes.
struct batch_committed
{
    const membership_batch batch;

    bool operator==(const batch_committed &) const = default;
};

} // namespace lycheeshunt::membership
