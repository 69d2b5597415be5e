#pragma once

#include "tools/soaktest/drain_order.h"
#include "tools/soaktest/zone_order.h"

#include <variant>

namespace lycheeshunt::soak {

using maintenance_order = std::variant<zone_order, drain_order>;

} // namespace lycheeshunt::soak
