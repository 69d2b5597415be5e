#pragma once

#include "lycheeshunt/base/error.h"

#include <cstdint>

namespace lycheeshunt::evacuations {

// A proposal was not appended to the log, or its outcome is unknown.
struct proposal_rejected
{
    const std::uint64_t token = 0;
    const base::error reason;

    bool operator==(const proposal_rejected &) const = default;
};

} // namespace lycheeshunt::evacuations
