#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// Requests the backend server to cancel dispatched work. The slot stays occupied until the work
// ends.
struct cancel_at_server
{
    const work_id id;

    bool operator==(const cancel_at_server &) const = default;
};

} // namespace lycheeshunt::admission
