#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::replication {

// A control VM says that it is there. While none of them is formed, this lets the first
// configuration be founded; later it tells the leader of an empty disk under a known name.
struct presence
{
    // Whether the sender's disk holds a configuration.
    const bool isFormed = false;
    const base::endpoint api = {};

    bool operator==(const presence &) const = default;
};

} // namespace lycheeshunt::replication
