#pragma once

#include "lycheeshunt/replication/disk_files.h"
#include "lycheeshunt/replication/memory_files.h"

#include <variant>

namespace lycheeshunt::replication {

// Where a replica keeps its files.
using file_set = std::variant<disk_files, memory_files>;

} // namespace lycheeshunt::replication
