#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

#include <optional>

namespace lycheeshunt::tickets {

// Answers confirm_read: without a failure, what this VM knows was current after the question.
struct read_outcome
{
    const base::request_id request;
    const std::optional<base::error> failure = {};

    bool operator==(const read_outcome &) const = default;
};

} // namespace lycheeshunt::tickets
