#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// What the queried agent knows of the flow.
enum class lookup_verdict : std::uint8_t {
    unknown = 1, // it does not know the flow
    owned = 2, // the agent named in the answer owns the flow
    redirect = 3, // it does not know the flow but is its director: send the packets there
    mayOwn = 4, // it does not know the flow, but its older backend server may have it
};

} // namespace lycheeshunt::flows
