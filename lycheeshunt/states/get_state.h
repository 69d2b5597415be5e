#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::states {

// An operator asks for the desired state in force.
struct show_state
{
    const base::request_id request;

    bool operator==(const show_state &) const = default;
};

} // namespace lycheeshunt::states
