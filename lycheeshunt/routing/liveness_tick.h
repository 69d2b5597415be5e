#pragma once

namespace lycheeshunt::routing {

// Time has passed; probes may be due or overdue.
struct liveness_tick
{
    bool operator==(const liveness_tick &) const = default;
};

} // namespace lycheeshunt::routing
