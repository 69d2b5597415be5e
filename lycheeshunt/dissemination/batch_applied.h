#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/membership/membership_batch.h"

namespace lycheeshunt::dissemination {

// Committed membership changes created this generation.
struct batch_applied
{
    const base::generation at;
    const membership::membership_batch batch;

    bool operator==(const batch_applied &) const = default;
};

} // namespace lycheeshunt::dissemination
