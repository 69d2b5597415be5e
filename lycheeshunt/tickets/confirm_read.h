#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::tickets {

// Find out whether what this VM knows is current; read_outcome is the answer.
struct confirm_read
{
    const base::request_id request;

    bool operator==(const confirm_read &) const = default;
};

} // namespace lycheeshunt::tickets
