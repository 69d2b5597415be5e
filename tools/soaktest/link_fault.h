#pragma once

#include "tools/soaktest/link_clear.h"
#include "tools/soaktest/link_delay.h"
#include "tools/soaktest/link_reset.h"
#include "tools/soaktest/link_silence.h"

#include <variant>

namespace lycheeshunt::soak {

using link_fault = std::variant<link_clear, link_delay, link_silence, link_reset>;

} // namespace lycheeshunt::soak
