#pragma once

#include "lycheeshunt/admission/cancel_at_server.h"
#include "lycheeshunt/admission/hand_over.h"
#include "lycheeshunt/admission/lose_work.h"
#include "lycheeshunt/admission/move_work.h"
#include "lycheeshunt/admission/refuse_work.h"
#include "lycheeshunt/admission/report_empty.h"
#include <variant>

namespace lycheeshunt::admission {

using admission_action
    = std::variant<hand_over, refuse_work, move_work, cancel_at_server, lose_work, report_empty>;

} // namespace lycheeshunt::admission
