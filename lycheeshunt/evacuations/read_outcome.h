#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

#include <optional>

namespace lycheeshunt::evacuations {

// Whether this VM is known to be current for the request.
struct read_outcome
{
    const base::request_id request;
    const std::optional<base::error> failure = {};

    bool operator==(const read_outcome &) const = default;
};

} // namespace lycheeshunt::evacuations
