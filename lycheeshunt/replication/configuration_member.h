#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/replica_id.h"

#include <string>

namespace lycheeshunt::replication {

// One control VM in the replicated configuration.
struct configuration_member
{
    const std::string name;
    const storage_id storage;
    // A non-voter receives the log but does not count toward a quorum.
    const bool isVoter = true;
    // Address at which it accepts streams; port 0 where peers are listed in the settings instead.
    const base::endpoint streams = {};

    replica_id id() const { return replica_id {base::nodeIdOf(name), storage}; }

    bool operator==(const configuration_member &) const = default;
};

} // namespace lycheeshunt::replication
