#pragma once

#include "lycheeshunt/placement/give_work.h"
#include "lycheeshunt/placement/pass_flow.h"
#include "lycheeshunt/placement/refuse_flow.h"
#include "lycheeshunt/placement/request_work.h"
#include "lycheeshunt/placement/send_report.h"
#include "lycheeshunt/placement/take_flow.h"
#include <variant>

namespace lycheeshunt::placement {

using placement_action
    = std::variant<take_flow, pass_flow, refuse_flow, request_work, give_work, send_report>;

} // namespace lycheeshunt::placement
