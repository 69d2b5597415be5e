#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

#include <optional>

namespace lycheeshunt::tickets {

// The outcome of another duty's read. It passes through this duty unchanged, behind the entries
// that were committed before it, so that the read sees them applied.
struct other_read_outcome
{
    const base::request_id request;
    const std::optional<base::error> failure = {};
    // Whether the read is of evacuations, not of desired states.
    const bool isOfEvacuations = false;

    bool operator==(const other_read_outcome &) const = default;
};

} // namespace lycheeshunt::tickets
