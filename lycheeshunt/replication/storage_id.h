#pragma once

#include "lycheeshunt/base/strong_number.h"

#include <cstdint>

namespace lycheeshunt::replication {

// Random identity of a data folder, chosen when it is created. It distinguishes a new, empty disk
// of a VM from the disk that the VM had before. 0 means none.
using storage_id = base::strong_number<struct storage_id_tag, std::uint64_t>;

} // namespace lycheeshunt::replication
