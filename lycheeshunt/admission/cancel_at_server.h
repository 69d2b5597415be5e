#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// Ask the backend server to give up work that was handed over. Its slot stays taken until it ends.
struct cancel_at_server
{
    const work_id id;

    bool operator==(const cancel_at_server &) const = default;
};

} // namespace lycheeshunt::admission
