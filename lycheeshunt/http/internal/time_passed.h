#pragma once

namespace lycheeshunt::http::internal {

// Sent periodically while there are connections.
struct time_passed
{
    bool operator==(const time_passed &) const = default;
};

} // namespace lycheeshunt::http::internal
