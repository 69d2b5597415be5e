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
    // Where this VM takes streams of the others.
    const base::endpoint streams = {};
    // Some control VMs to begin with. When given, `peers` is not used: the seeds found the group,
    // any control VM that announces itself joins, and one that falls silent for good is let go.
    const std::vector<base::endpoint> seeds = {};
    // Whether a group may be founded; false on a VM that replaces another.
    const bool mayBootstrap = true;
    // Disks that may be lost at once; the group never shrinks to so few voters that one change
    // could be lost with them.
    const std::size_t toleratedLosses = 1;

    bool isOpen() const { return !seeds.empty(); }

    bool operator==(const replica_settings &) const = default;
};

} // namespace lycheeshunt::replication
