#pragma once

#include "lycheeshunt/states/confirm_read.h"
#include "lycheeshunt/states/get_state.h"
#include "lycheeshunt/states/leadership_update.h"
#include "lycheeshunt/states/propose_state.h"
#include "lycheeshunt/states/read_outcome.h"
#include "lycheeshunt/states/state_answer.h"
#include "lycheeshunt/states/state_committed.h"
#include "lycheeshunt/states/state_proposal_rejected.h"
#include "lycheeshunt/states/submit_state.h"
#include "lycheeshunt/states/undecodable_state_committed.h"

#include <variant>

namespace lycheeshunt::states {

using state_message
    = std::variant<submit_state, get_state, state_committed, undecodable_state_committed,
                   state_proposal_rejected, read_outcome, leadership_update>;
using state_action = std::variant<propose_state, state_answer, confirm_read>;

} // namespace lycheeshunt::states
