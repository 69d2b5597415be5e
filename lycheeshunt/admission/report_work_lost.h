#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// Reports that the outcome of dispatched work will never be known.
struct report_work_lost
{
    const work_id id;

    bool operator==(const report_work_lost &) const = default;
};

} // namespace lycheeshunt::admission
