#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// Give the work to the backend server. From here on it may have run.
struct hand_over
{
    const work_id id;

    bool operator==(const hand_over &) const = default;
};

} // namespace lycheeshunt::admission
