#pragma once

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

    replica_id id() const { return replica_id {base::nodeIdOf(name), storage}; }

    bool operator==(const configuration_member &) const = default;
};

} // namespace lycheeshunt::replication
