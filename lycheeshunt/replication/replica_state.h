// The complete state of a replica's decisions.

#pragma once

#include "lycheeshunt/replication/hard_state.h"
#include "lycheeshunt/replication/incoming_snapshot.h"
#include "lycheeshunt/replication/indexed_configuration.h"
#include "lycheeshunt/replication/peer_presence.h"
#include "lycheeshunt/replication/replica_log.h"
#include "lycheeshunt/replication/replica_role.h"
#include "lycheeshunt/replication/replica_settings.h"
#include "lycheeshunt/replication/snapshot.h"

#include <list>
#include <map>
#include <memory>
#include <random>

namespace lycheeshunt::replication {

struct replica_state
{
    std::shared_ptr<const replica_settings> settings;
    base::node_id self;
    storage_id storage;

    std::uint64_t term = 0;
    base::node_id votedNode;
    storage_id votedStorage;
    replica_log log;
    base::generation commit;
    // The last one, the newest in the log, is in effect whether or not it is committed. Earlier
    // ones are kept for when the log is truncated. Empty while the VM does not belong to a group.
    std::list<indexed_configuration> configurations;
    shared_snapshot latestSnapshot;

    replica_role role = follower_role {};
    std::minstd_rand random;
    base::clock_time now;
    base::clock_time startedAt;
    base::clock_time electionDeadline;
    base::clock_time lastLeaderContact;
    base::clock_time nextPresence;
    std::map<base::node_id, peer_presence> presences;
    // Contacts received from others or from the settings, with the time of the last mention; used
    // in open groups only.
    std::map<base::endpoint, base::clock_time> contacts;
    incoming_snapshot incoming;

    replica_id id() const { return replica_id {self, storage}; }
    replica_id vote() const { return replica_id {votedNode, votedStorage}; }
    bool isFormed() const { return !configurations.empty(); }
    // Precondition: isFormed().
    const configuration &members() const { return configurations.back().configuration; }

    bool operator==(const replica_state &) const = default;
};

} // namespace lycheeshunt::replication
