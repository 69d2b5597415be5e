#pragma once

#include "lycheeshunt/replication/peer_progress.h"
#include "lycheeshunt/replication/pending_read.h"

#include <map>
#include <vector>

namespace lycheeshunt::replication {

// Takes proposals and replicates them.
struct leader_role
{
    // First entry of its own term; nothing before it is committed by count alone.
    base::generation firstOwn;
    std::uint64_t round = 0;
    base::clock_time nextHeartbeat;
    std::map<base::node_id, peer_progress> progress;
    std::vector<pending_read> reads;

    bool operator==(const leader_role &) const = default;
};

} // namespace lycheeshunt::replication
