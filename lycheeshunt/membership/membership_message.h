#pragma once

#include "lycheeshunt/membership/batch_committed.h"
#include "lycheeshunt/membership/leadership_changed.h"
#include "lycheeshunt/membership/member_announced.h"
#include "lycheeshunt/membership/member_left.h"
#include "lycheeshunt/membership/membership_tick.h"
#include "lycheeshunt/membership/propose_batch.h"
#include "lycheeshunt/membership/report_conflict.h"

#include <variant>

namespace lycheeshunt::membership {

using membership_message = std::variant<member_announced, member_left, batch_committed,
                                        leadership_changed, membership_tick>;
using membership_action = std::variant<propose_batch, report_conflict>;

} // namespace lycheeshunt::membership
