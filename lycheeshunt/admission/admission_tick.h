#pragma once

namespace lycheeshunt::admission {

// Time has passed; carries nothing else.
struct admission_tick
{
    bool operator==(const admission_tick &) const = default;
};

} // namespace lycheeshunt::admission
