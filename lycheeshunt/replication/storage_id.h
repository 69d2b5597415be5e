#pragma once

#include "lycheeshunt/base/strong_number.h"

#include <cstdint>

namespace lycheeshunt::replication {

// Drawn at random when a data folder is made, so that an empty disk under a known name is told
// from the disk that was there before. 0 names no storage.
using storage_id = base::strong_number<struct storage_id_tag, std::uint64_t>;

} // namespace lycheeshunt::replication
