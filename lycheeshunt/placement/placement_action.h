#pragma once

#include "lycheeshunt/placement/accept_flow.h"
#include "lycheeshunt/placement/forward_offer.h"
#include "lycheeshunt/placement/refuse_flow.h"
#include "lycheeshunt/placement/release_work.h"
#include "lycheeshunt/placement/request_work.h"
#include "lycheeshunt/placement/send_report.h"
#include <variant>

namespace lycheeshunt::placement {

using placement_action = std::variant<accept_flow, forward_offer, refuse_flow, request_work,
                                      release_work, send_report>;

} // namespace lycheeshunt::placement
