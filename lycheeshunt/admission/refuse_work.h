#pragma once

#include "lycheeshunt/admission/work_id.h"
#include "lycheeshunt/base/error_code.h"

namespace lycheeshunt::admission {

// Notifies the caller that the work was not run, and why.
struct refuse_work
{
    const work_id id;
    const base::error_code reason;

    bool operator==(const refuse_work &) const = default;
};

} // namespace lycheeshunt::admission
