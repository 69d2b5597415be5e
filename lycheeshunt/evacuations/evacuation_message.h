#pragma once

#include "lycheeshunt/evacuations/confirm_read.h"
#include "lycheeshunt/evacuations/leadership_update.h"
#include "lycheeshunt/evacuations/order_answer.h"
#include "lycheeshunt/evacuations/order_committed.h"
#include "lycheeshunt/evacuations/proposal_rejected.h"
#include "lycheeshunt/evacuations/propose_order.h"
#include "lycheeshunt/evacuations/read_outcome.h"
#include "lycheeshunt/evacuations/submit_order.h"

#include <variant>

namespace lycheeshunt::evacuations {

using evacuation_message = std::variant<submit_order, order_committed, proposal_rejected,
                                        read_outcome, leadership_update>;
using evacuation_action = std::variant<propose_order, order_answer, confirm_read>;

} // namespace lycheeshunt::evacuations
