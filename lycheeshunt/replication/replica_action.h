#pragma once

#include "lycheeshunt/replication/commit_entries.h"
#include "lycheeshunt/replication/hard_state.h"
#include "lycheeshunt/replication/leadership_changed.h"
#include "lycheeshunt/replication/members_changed.h"
#include "lycheeshunt/replication/peer_envelope.h"
#include "lycheeshunt/replication/persist_entries.h"
#include "lycheeshunt/replication/persist_snapshot.h"
#include "lycheeshunt/replication/proposal_refused.h"
#include "lycheeshunt/replication/read_confirmed.h"
#include "lycheeshunt/replication/read_refused.h"
#include "lycheeshunt/replication/send_to_address.h"
#include "lycheeshunt/replication/set_peer_address.h"
#include "lycheeshunt/replication/truncate_log.h"

#include <variant>

namespace lycheeshunt::replication {

// Actions must be carried out in order. When a write fails, the remaining actions of the step must
// be skipped, because a message that follows a write asserts that the write has been synced.
using replica_action
    = std::variant<peer_envelope, send_to_address, set_peer_address, hard_state, truncate_log,
                   persist_entries, persist_snapshot, commit_entries, leadership_changed,
                   members_changed, proposal_refused, read_confirmed, read_refused>;

} // namespace lycheeshunt::replication
