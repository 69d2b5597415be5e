#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// Removes queued work, which was not run, and offers it to the agent that requested work.
struct transfer_work
{
    const work_id id;

    bool operator==(const transfer_work &) const = default;
};

} // namespace lycheeshunt::admission
