#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// The work was not run; offer it to the agent that wants it.
struct transfer_work
{
    const work_id id;

    bool operator==(const transfer_work &) const = default;
};

} // namespace lycheeshunt::admission
