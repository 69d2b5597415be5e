#pragma once

#include "tools/soaktest/process_order.h"

#include <variant>

namespace lycheeshunt::soak {

using soak_order = std::variant<process_order>;

} // namespace lycheeshunt::soak
