#pragma once

#include "lycheeshunt/replication/commit_entries.h"
#include "lycheeshunt/replication/leadership_changed.h"
#include "lycheeshunt/replication/members_changed.h"
#include "lycheeshunt/replication/proposal_refused.h"
#include "lycheeshunt/replication/read_confirmed.h"
#include "lycheeshunt/replication/read_refused.h"
#include "lycheeshunt/replication/state_restored.h"

#include <variant>

namespace lycheeshunt::replication {

// Notices from the replication thread to the other duties, sent in the order of the events.
using replication_notice
    = std::variant<commit_entries, state_restored, leadership_changed, members_changed,
                   proposal_refused, read_confirmed, read_refused>;

} // namespace lycheeshunt::replication
