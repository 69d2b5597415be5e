#pragma once

#include "lycheeshunt/routing/route.h"

#include <cstdint>
#include <variant>

namespace lycheeshunt::routing {

// Send a second copy of the opening packet to this agent, marked doubtful.
struct send_hedge
{
    const route destination;

    bool operator==(const send_hedge &) const = default;
};

enum class hedge_obstacle : std::uint8_t {
    noOtherAgent, // the service has none but the one that the first copy went to
    noBudget, // the limit on copies is reached
};

// Send no second copy.
struct skip_hedge
{
    const hedge_obstacle reason;

    bool operator==(const skip_hedge &) const = default;
};

using hedge_decision = std::variant<send_hedge, skip_hedge>;

} // namespace lycheeshunt::routing
