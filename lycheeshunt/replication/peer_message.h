#pragma once

#include "lycheeshunt/replication/append_answer.h"
#include "lycheeshunt/replication/append_request.h"
#include "lycheeshunt/replication/forwarded_proposal.h"
#include "lycheeshunt/replication/presence.h"
#include "lycheeshunt/replication/snapshot_answer.h"
#include "lycheeshunt/replication/snapshot_piece.h"
#include "lycheeshunt/replication/vote_answer.h"
#include "lycheeshunt/replication/vote_request.h"

#include <variant>

namespace lycheeshunt::replication {

// Messages between control VMs. The index of an alternative is its type number on the wire.
using peer_message = std::variant<vote_request, vote_answer, append_request, append_answer,
                                  snapshot_piece, snapshot_answer, presence, forwarded_proposal>;

} // namespace lycheeshunt::replication
