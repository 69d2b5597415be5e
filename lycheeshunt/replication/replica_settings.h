#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/replica_bounds.h"
#include "lycheeshunt/replication/replica_timing.h"

#include <string>
#include <vector>

namespace lycheeshunt::replication {

// Settings of a replica that do not change while it runs.
struct replica_settings
{
    const std::string name;
    // Names of all control VMs, including this one.
    const std::vector<std::string> peers = {};
    // Address of this VM's operators' API, announced to the others.
    const base::endpoint api = {};
    const replica_timing timing = {};
    const replica_bounds bounds = {};
    // Address at which this VM accepts streams from the others.
    const base::endpoint streams = {};
    // Initial contact addresses. When they are set, the group is open and `peers` is not used: the
    // seeds bootstrap the group, any control VM that announces itself joins it, and one that stops
    // responding is removed.
    const std::vector<base::endpoint> seeds = {};
    // Whether this VM may bootstrap a group; false on a VM that replaces another.
    const bool mayBootstrap = true;
    // Number of disks that may be lost at once. Members are not removed when the remaining voters
    // would be too few to keep every committed entry through such a loss.
    const std::size_t toleratedLosses = 1;

    bool isOpen() const { return !seeds.empty(); }

    bool operator==(const replica_settings &) const = default;
};

} // namespace lycheeshunt::replication
