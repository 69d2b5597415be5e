#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// What the asked agent knows of the flow.
enum class lookup_verdict : std::uint8_t {
    unknown = 1, // nothing
    owned = 2, // the owner named in the answer has it
    redirect = 3, // nothing, but the asked agent is director: it takes the flow's packets
    mayOwn = 4, // nothing, but its server is older than the agent and may have the flow
};

} // namespace lycheeshunt::flows
