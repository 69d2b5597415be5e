// A reset that neither the caller nor the backend server has sent reaches one of them.

#pragma once

#include "lycheeshunt/base/flow_key.h"

#include <string>

namespace lycheeshunt::soak {

struct flow_reset
{
    base::flow_key flow;
    // "caller", or the name of the backend server.
    std::string receiver;
    // The caller has not sent a request on this flow, so the reset tells it that none has run.
    bool reportsNotRun = false;

    bool operator==(const flow_reset &) const = default;
};

} // namespace lycheeshunt::soak
