#pragma once

#include "lycheeshunt/membership/membership_batch.h"

namespace lycheeshunt::membership {

// A batch of membership changes was committed to the log.
struct batch_committed
{
    const membership_batch batch;

    bool operator==(const batch_committed &) const = default;
};

} // namespace lycheeshunt::membership
