#pragma once

namespace lycheeshunt::flows {

// Sent periodically, so that timeouts are handled.
struct tick
{
    bool operator==(const tick &) const = default;
};

} // namespace lycheeshunt::flows
