#pragma once

namespace lycheeshunt::requests {

// Time has passed; carries nothing else.
struct requests_tick
{
    bool operator==(const requests_tick &) const = default;
};

} // namespace lycheeshunt::requests
