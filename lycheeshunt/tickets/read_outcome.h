#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

#include <optional>

namespace lycheeshunt::tickets {

// Reply to confirm_read. Without a failure, this VM's state was current at some time after the
// request.
struct read_outcome
{
    const base::request_id request;
    const std::optional<base::error> failure = {};

    bool operator==(const read_outcome &) const = default;
};

} // namespace lycheeshunt::tickets
