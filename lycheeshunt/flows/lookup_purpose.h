#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// Why packets of a flow are held.
enum class lookup_purpose : std::uint8_t {
    open, // before the flow is opened, agents that may have opened it are asked
    find, // the flow is open somewhere; agents that may know its owner are asked
};

} // namespace lycheeshunt::flows
