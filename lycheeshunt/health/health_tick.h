#pragma once

namespace lycheeshunt::health {

// Periodic message that triggers a poll of the endpoints of the backend server.
struct health_tick
{
    bool operator==(const health_tick &) const = default;
};

} // namespace lycheeshunt::health
