#pragma once

#include "lycheeshunt/base/error.h"

#include <cstdint>

namespace lycheeshunt::states {

// A proposal was not appended to the log, or its outcome is unknown.
struct state_proposal_rejected
{
    const std::uint64_t token = 0;
    const base::error reason;

    bool operator==(const state_proposal_rejected &) const = default;
};

} // namespace lycheeshunt::states
