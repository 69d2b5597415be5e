// Lists the members of control's view that have not acknowledged a generation.

#pragma once

#include "lycheeshunt/dissemination/in_force_answer.h"
#include "lycheeshunt/dissemination/in_force_query.h"

namespace lycheeshunt::dissemination {
struct publisher_state;
}

namespace lycheeshunt::dissemination::internal {

in_force_answer answerTo(const publisher_state &state, const in_force_query &query);

} // namespace lycheeshunt::dissemination::internal
