#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// The caller cancelled the work.
struct work_cancelled
{
    const work_id id;

    bool operator==(const work_cancelled &) const = default;
};

} // namespace lycheeshunt::admission
