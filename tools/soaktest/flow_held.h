// A backend server has the end of the handshake: from now on the flow is open there.

#pragma once

#include "lycheeshunt/base/flow_key.h"

#include <string>

namespace lycheeshunt::soak {

struct flow_held
{
    base::flow_key flow;
    std::string server;

    bool operator==(const flow_held &) const = default;
};

} // namespace lycheeshunt::soak
