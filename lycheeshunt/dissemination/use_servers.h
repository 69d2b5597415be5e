#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <vector>

namespace lycheeshunt::dissemination {

// Look for control at these addresses, in this order, when the present stream ends.
struct use_servers
{
    const std::vector<base::endpoint> servers = {};

    bool operator==(const use_servers &) const = default;
};

} // namespace lycheeshunt::dissemination
