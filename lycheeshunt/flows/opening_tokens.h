#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>
#include <optional>

namespace lycheeshunt::flows {

// The opening packets that a cold backend server may still get. Mutable, as part of server_view.
struct opening_tokens
{
    // The server is cold until then.
    base::clock_time coldUntil;
    // The start of the server that the tokens belong to.
    std::uint64_t serverStarts = 0;
    // Tokens per second, from the service's definition; empty: no limit.
    std::optional<double> rate;
    double left = 0;
    base::clock_time refilledAt;
    // When the last token was taken, if that has happened since the server's start.
    std::optional<base::clock_time> emptyAt;
};

} // namespace lycheeshunt::flows
