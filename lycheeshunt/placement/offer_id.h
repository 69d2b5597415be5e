#pragma once

#include "lycheeshunt/base/strong_number.h"
#include <cstdint>

namespace lycheeshunt::placement {

// Number that the front end assigns to a flow or request that is to be placed.
using offer_id = base::strong_number<struct offer_id_tag, std::uint64_t>;

} // namespace lycheeshunt::placement
