#pragma once

namespace lycheeshunt::flows {

// Time has passed; carries nothing else.
struct tick
{
    bool operator==(const tick &) const = default;
};

} // namespace lycheeshunt::flows
