#pragma once

#include "lycheeshunt/base/error.h"

#include <optional>

namespace lycheeshunt::tickets {

// Whether this VM may propose tickets, and if not, the error for operators. Proposals made before
// the end of a leadership may still be committed by the next leader, or be lost.
struct leadership_update
{
    const std::optional<base::error> notLeaderError = {};

    bool operator==(const leadership_update &) const = default;
};

} // namespace lycheeshunt::tickets
