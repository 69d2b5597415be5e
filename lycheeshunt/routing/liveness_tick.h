#pragma once

namespace lycheeshunt::routing {

// Sent at a fixed interval, so that due probes are sent and overdue ones expire.
struct liveness_tick
{
    bool operator==(const liveness_tick &) const = default;
};

} // namespace lycheeshunt::routing
