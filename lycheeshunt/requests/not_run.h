#pragma once

#include "lycheeshunt/base/error_code.h"

namespace lycheeshunt::requests {

// The request was never run.
struct not_run
{
    const base::error_code reason;

    bool operator==(const not_run &) const = default;
};

} // namespace lycheeshunt::requests
