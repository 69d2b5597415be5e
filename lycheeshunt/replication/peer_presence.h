#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/replication/storage_id.h"

#include <string>

namespace lycheeshunt::replication {

// Contents of the last presence message from another control VM.
struct peer_presence
{
    const storage_id storage;
    const bool isFormed = false;
    const base::endpoint api = {};
    const base::clock_time lastHeard;
    const std::string name = {};
    const base::endpoint streams = {};

    bool operator==(const peer_presence &) const = default;
};

} // namespace lycheeshunt::replication
