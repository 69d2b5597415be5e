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
    // A non-voter receives the log and counts for no quorum.
    const bool isVoter = true;
    // Where it takes streams; port 0 where the settings of each VM list the others.
    const base::endpoint streams = {};

    replica_id id() const { return replica_id {base::nodeIdOf(name), storage}; }

    bool operator==(const configuration_member &) const = default;
};

} // namespace lycheeshunt::replication
