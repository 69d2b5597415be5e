#pragma once

namespace lycheeshunt::requests {

// Periodic message that drives deadlines, retries and the expiry of records.
struct requests_tick
{
    bool operator==(const requests_tick &) const = default;
};

} // namespace lycheeshunt::requests
