// Which members of control's view have not acknowledged a generation.

#pragma once

#include "lycheeshunt/dissemination/force_answer.h"
#include "lycheeshunt/dissemination/force_query.h"

namespace lycheeshunt::dissemination {
struct publisher_state;
}

namespace lycheeshunt::dissemination::internal {

force_answer reportOn(const publisher_state &state, const force_query &query);

} // namespace lycheeshunt::dissemination::internal
