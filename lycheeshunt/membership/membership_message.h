#pragma once

#include "lycheeshunt/membership/batch_committed.h"
#include "lycheeshunt/membership/member_announced.h"
#include "lycheeshunt/membership/membership_tick.h"
#include "lycheeshunt/membership/propose_batch.h"

#include <variant>

namespace lycheeshunt::membership {

using membership_message = std::variant<member_announced, batch_committed, membership_tick>;
using membership_action = std::variant<propose_batch>;

} // namespace lycheeshunt::membership
