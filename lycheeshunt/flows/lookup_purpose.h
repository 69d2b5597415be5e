#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// Why the owner of a flow is looked up.
enum class lookup_purpose : std::uint8_t {
    open, // the flow is new; agents that may have opened it are queried first
    find, // the flow is open; agents that may know its owner are queried
};

} // namespace lycheeshunt::flows
