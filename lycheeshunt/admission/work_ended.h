#pragma once

#include "lycheeshunt/admission/work_id.h"
#include "lycheeshunt/admission/work_outcome.h"

namespace lycheeshunt::admission {

// The work ended at the backend server; its slot is free.
struct work_ended
{
    const work_id id;
    const work_outcome outcome = work_outcome::answered;

    bool operator==(const work_ended &) const = default;
};

} // namespace lycheeshunt::admission
