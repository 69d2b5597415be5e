#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::states {

// An operator reads the desired state in force.
struct get_state
{
    const base::request_id request;

    bool operator==(const get_state &) const = default;
};

} // namespace lycheeshunt::states
