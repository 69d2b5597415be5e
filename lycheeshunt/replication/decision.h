// Consensus of the control VMs on one log, as a pure step: no I/O, no threads, no clock read.
//
//     replica_state state = startReplica(settings, recovered, seed, now);
//     step<replica_state, replica_action> next = decide(std::move(state), message, now);
//
// The log is replicated by a leader that a quorum elected for a term. An entry is committed once a
// quorum has synced it and it, or one after it, is of the leader's own term. Quorums count the
// voters of the newest configuration in the log, each by name and disk. `now` may repeat or step
// back; it is then taken as standing still.

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

// The state after a start with what the disk held. Only a snapshot counts as committed.
replica_state startReplica(std::shared_ptr<const replica_settings> settings,
                           const recovered_storage &recovered, std::uint32_t seed,
                           base::clock_time now);

leadership leadershipOf(const replica_state &state);

} // namespace lycheeshunt::replication
