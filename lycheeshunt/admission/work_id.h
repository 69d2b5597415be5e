#pragma once

#include "lycheeshunt/base/strong_number.h"
#include <cstdint>

namespace lycheeshunt::admission {

// Identifies a unit of work at one agent; not reused while the agent process runs.
using work_id = base::strong_number<struct work_id_tag, std::uint64_t>;

} // namespace lycheeshunt::admission
