// Identifies a connection within its process; never reused.

#pragma once

#include "lycheeshunt/base/strong_number.h"

#include <cstdint>

namespace lycheeshunt::streams {

using connection_id = base::strong_number<struct connection_id_tag, std::uint64_t>;

} // namespace lycheeshunt::streams
