#pragma once

namespace lycheeshunt::servers {

// Sent at a fixed interval, so that timeouts are checked.
struct servers_tick
{
    bool operator==(const servers_tick &) const = default;
};

} // namespace lycheeshunt::servers
