#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/replica_bounds.h"
#include "lycheeshunt/replication/replica_timing.h"

#include <string>
#include <vector>

namespace lycheeshunt::replication {

// What a replica knows before it has read its log.
struct replica_settings
{
    const std::string name;
    // Names of all control VMs, this one included.
    const std::vector<std::string> peers = {};
    // Where this VM's operators' API is, to be told to the others.
    const base::endpoint api = {};
    const replica_timing timing = {};
    const replica_bounds bounds = {};

    bool operator==(const replica_settings &) const = default;
};

} // namespace lycheeshunt::replication
