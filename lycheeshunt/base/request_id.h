// Identifies an operator request within a control process.

#pragma once

#include "lycheeshunt/base/strong_number.h"

#include <cstdint>

namespace lycheeshunt::base {

using request_id = strong_number<struct request_id_tag, std::uint64_t>;

} // namespace lycheeshunt::base
