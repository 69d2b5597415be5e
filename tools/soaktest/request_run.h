// A backend server runs a request. Requests of a flow are numbered from 1.

#pragma once

#include "lycheeshunt/base/flow_key.h"

#include <string>

namespace lycheeshunt::soak {

struct request_run
{
    base::flow_key flow;
    int request = 0;
    std::string server;

    bool operator==(const request_run &) const = default;
};

} // namespace lycheeshunt::soak
