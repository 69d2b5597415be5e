#pragma once

#include "lycheeshunt/base/error.h"

#include <cstdint>

namespace lycheeshunt::states {

// A proposal did not get into the log, or nobody knows whether it did.
struct state_withdrawn
{
    const std::uint64_t token = 0;
    const base::error reason;

    bool operator==(const state_withdrawn &) const = default;
};

} // namespace lycheeshunt::states
