#pragma once

#include "lycheeshunt/base/strong_number.h"
#include <cstdint>

namespace lycheeshunt::placement {

// Number that the front end gave to a flow or request that it wants placed.
using offer_id = base::strong_number<struct offer_id_tag, std::uint64_t>;

} // namespace lycheeshunt::placement
