#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// The outcome of work that was handed over will never be known.
struct report_work_lost
{
    const work_id id;

    bool operator==(const report_work_lost &) const = default;
};

} // namespace lycheeshunt::admission
