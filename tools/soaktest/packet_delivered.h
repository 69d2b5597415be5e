// A packet of a caller reaches a backend server.

#pragma once

#include "lycheeshunt/base/flow_key.h"

#include <string>

namespace lycheeshunt::soak {

struct packet_delivered
{
    base::flow_key flow;
    std::string server;
    bool opens = false;

    bool operator==(const packet_delivered &) const = default;
};

} // namespace lycheeshunt::soak
