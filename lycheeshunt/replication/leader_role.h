#pragma once

#include "lycheeshunt/replication/peer_progress.h"
#include "lycheeshunt/replication/pending_read.h"

#include <map>
#include <vector>

namespace lycheeshunt::replication {

// Accepts proposals and replicates them to the members.
struct leader_role
{
    // Index of the first entry of the leader's own term. Entries of earlier terms are not committed
    // by counting replicas; they are committed together with an entry of the own term.
    base::generation firstIndexOfTerm;
    // Incremented by each periodic heartbeat and by each read, which sends heartbeats at once.
    std::uint64_t heartbeatRound = 0;
    base::clock_time nextHeartbeat;
    std::map<base::node_id, peer_progress> progress;
    std::vector<pending_read> reads;

    bool operator==(const leader_role &) const = default;
};

} // namespace lycheeshunt::replication
