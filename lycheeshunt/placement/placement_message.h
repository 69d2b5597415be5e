#pragma once

#include "lycheeshunt/placement/flow_offered.h"
#include "lycheeshunt/placement/load_report.h"
#include "lycheeshunt/placement/own_load_changed.h"
#include "lycheeshunt/placement/peers_changed.h"
#include "lycheeshunt/placement/placement_tick.h"
#include "lycheeshunt/placement/work_requested.h"
#include <variant>

namespace lycheeshunt::placement {

using placement_message = std::variant<load_report, peers_changed, own_load_changed, flow_offered,
                                       work_requested, placement_tick>;

} // namespace lycheeshunt::placement
