// Identifies a connection within its listener.

#pragma once

#include "lycheeshunt/base/strong_number.h"

#include <cstdint>

namespace lycheeshunt::http::internal {

using connection_id = base::strong_number<struct connection_id_tag, std::uint64_t>;

} // namespace lycheeshunt::http::internal
