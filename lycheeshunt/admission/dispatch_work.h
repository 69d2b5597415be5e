#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// Dispatches the work to the backend server. From here on it may have run.
struct dispatch_work
{
    const work_id id;

    bool operator==(const dispatch_work &) const = default;
};

} // namespace lycheeshunt::admission
