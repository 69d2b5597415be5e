#pragma once

#include <cstdint>

namespace lycheeshunt::replication {

// Identifies the slice that the payload of a log entry belongs to.
enum class entry_kind : std::uint8_t {
    none = 0,
    ticket = 1,
    membership = 2,
    configuration = 3,
    state = 4,
    evacuation = 5,
};

} // namespace lycheeshunt::replication
