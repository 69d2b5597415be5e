#pragma once

#include "lycheeshunt/base/identifiers.h"
#include <string>

namespace lycheeshunt::placement {

// An agent of the same service.
struct peer
{
    const base::node_id node;
    const base::incarnation incarnation;
    const std::string zone = {};

    bool operator==(const peer &) const = default;
};

} // namespace lycheeshunt::placement
