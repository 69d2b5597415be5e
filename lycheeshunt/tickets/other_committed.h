#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <string>

namespace lycheeshunt::tickets {

// A committed entry that is no ticket. It passes through here, in and out, so that those who
// apply entries get all of them in the order of the log.
struct other_committed
{
    const base::generation at;
    const std::string payload;
    // A desired state; else a membership batch.
    const bool isState = false;

    bool operator==(const other_committed &) const = default;
};

} // namespace lycheeshunt::tickets
