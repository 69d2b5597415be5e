#pragma once

namespace lycheeshunt::health {

// It is time to poll the backend server's endpoints.
struct health_tick
{
    bool operator==(const health_tick &) const = default;
};

} // namespace lycheeshunt::health
