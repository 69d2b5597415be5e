#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "tools/soaktest/http_request.h"

namespace lycheeshunt::soak {

struct operator_call
{
    // Index of the control VM.
    std::size_t control = 0;
    http_request request;
    base::clock_time askedAt = {};

    bool operator==(const operator_call &) const = default;
};

} // namespace lycheeshunt::soak
