#pragma once

#include "lycheeshunt/replication/contacts_changed.h"
#include "lycheeshunt/replication/peer_envelope.h"
#include "lycheeshunt/replication/propose_entries.h"
#include "lycheeshunt/replication/read_request.h"
#include "lycheeshunt/replication/replica_tick.h"
#include "lycheeshunt/replication/snapshot_taken.h"
#include "lycheeshunt/replication/storage_failure.h"

#include <variant>

namespace lycheeshunt::replication {

using replica_message = std::variant<replica_tick, peer_envelope, propose_entries, read_request,
                                     snapshot_taken, storage_failure, contacts_changed>;

} // namespace lycheeshunt::replication
