#pragma once

#include "lycheeshunt/replication/disk_files.h"
#include "lycheeshunt/replication/memory_files.h"

#include <variant>

namespace lycheeshunt::replication {

// Storage back end of a replica: files on disk, or in memory for tests.
using file_set = std::variant<disk_files, memory_files>;

} // namespace lycheeshunt::replication
