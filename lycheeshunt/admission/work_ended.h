#pragma once

#include "lycheeshunt/admission/work_end.h"
#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// The backend server is done with the work; its slot is free.
struct work_ended
{
    const work_id id;
    const work_end how = work_end::answered;

    bool operator==(const work_ended &) const = default;
};

} // namespace lycheeshunt::admission
