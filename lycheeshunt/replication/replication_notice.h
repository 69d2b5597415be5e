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

// What the replication thread tells the other duties, in the order in which it became true.
using replication_notice
    = std::variant<commit_entries, state_restored, leadership_changed, members_changed,
                   proposal_refused, read_confirmed, read_refused>;

} // namespace lycheeshunt::replication
