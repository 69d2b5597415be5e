#pragma once

#include "lycheeshunt/base/error.h"

#include <cstdint>

namespace lycheeshunt::tickets {

// The proposal with this token did not get into the log.
struct proposal_rejected
{
    const std::uint64_t token = 0;
    const base::error reason;

    bool operator==(const proposal_rejected &) const = default;
};

} // namespace lycheeshunt::tickets
