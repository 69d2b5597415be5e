// Consensus of the control VMs on a replicated log, in the manner of Raft. decide() is a pure
// function: it does no I/O, starts no threads and reads no clock.
//
//     replica_state state = startReplica(settings, recovered, seed, now);
//     step<replica_state, replica_action> next = decide(std::move(state), message, now);
//
// The log is replicated by a leader that a quorum has elected for a term. An entry is committed
// once a quorum has synced it and it, or a later entry, belongs to the leader's own term. A quorum
// is counted over the voters of the newest configuration in the log, each identified by its name
// and its disk. `now` may repeat or go backwards; the state's clock then stays where it is.

#pragma once

#include "lycheeshunt/base/step.h"
#include "lycheeshunt/replication/leadership.h"
#include "lycheeshunt/replication/replica_action.h"
#include "lycheeshunt/replication/replica_message.h"
#include "lycheeshunt/replication/replica_state.h"

namespace lycheeshunt::replication {

struct recovered_storage;

base::step<replica_state, replica_action>
decide(replica_state state, const replica_message &message, base::clock_time now);

// State of a starting replica, from the contents of its disk. Only what the snapshot covers counts
// as committed.
replica_state startReplica(std::shared_ptr<const replica_settings> settings,
                           const recovered_storage &recovered, std::uint32_t seed,
                           base::clock_time now);

// State of a replica that begins again from its reopened disk after a failed write.
replica_state resumeReplica(const replica_state &failed, const recovered_storage &recovered,
                            std::uint32_t seed, base::clock_time now);

leadership leadershipOf(const replica_state &state);

} // namespace lycheeshunt::replication
