#pragma once

#include "lycheeshunt/base/strong_number.h"
#include <cstdint>

namespace lycheeshunt::admission {

// Number of one piece of work at one agent; never used again in the life of the agent.
using work_id = base::strong_number<struct work_id_tag, std::uint64_t>;

} // namespace lycheeshunt::admission
