#pragma once

#include "tools/soaktest/drain_order.h"
#include "tools/soaktest/link_order.h"
#include "tools/soaktest/process_order.h"
#include "tools/soaktest/zone_order.h"

#include <variant>

namespace lycheeshunt::soak {

using soak_order = std::variant<process_order, zone_order, drain_order, link_order>;

} // namespace lycheeshunt::soak
