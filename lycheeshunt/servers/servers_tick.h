#pragma once

namespace lycheeshunt::servers {

// Time has passed; carries nothing else.
struct servers_tick
{
    bool operator==(const servers_tick &) const = default;
};

} // namespace lycheeshunt::servers
