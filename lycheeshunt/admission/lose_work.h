#pragma once

#include "lycheeshunt/admission/work_id.h"

namespace lycheeshunt::admission {

// The outcome of work that was handed over will never be known.
struct lose_work
{
    const work_id id;

    bool operator==(const lose_work &) const = default;
};

} // namespace lycheeshunt::admission
