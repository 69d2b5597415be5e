#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::soak {

// Which of them a process uses depends on its role.
struct process_addresses
{
    // Entry and agent: callers' packets. Control: the streams.
    base::endpoint main;
    // Entry: hints. Agent: packets of its server. Control: the operators' API.
    base::endpoint side;
    // Agent: its backend server. Control: the proxy of its streams.
    base::endpoint far;

    bool operator==(const process_addresses &) const = default;
};

} // namespace lycheeshunt::soak
