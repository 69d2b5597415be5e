#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/states/desired_state.h"

namespace lycheeshunt::states {

// An operator submits a complete desired state that has passed validation.
struct submit_state
{
    const base::request_id request;
    const shared_state state;

    bool operator==(const submit_state &) const = default;
};

} // namespace lycheeshunt::states
