#pragma once

#include "lycheeshunt/membership/membership_batch.h"

namespace lycheeshunt::membership {

// Propose membership changes to the log.
struct propose_batch
{
    const membership_batch batch;

    bool operator==(const propose_batch &) const = default;
};

} // namespace lycheeshunt::membership
