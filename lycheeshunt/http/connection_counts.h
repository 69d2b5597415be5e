// What the listeners of this process have done with connections since its start.

#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace lycheeshunt::http {

struct connection_counts
{
    // Open now.
    const std::uint64_t open = 0;
    const std::uint64_t accepted = 0;
    // Closed at once because no other connection could be closed instead.
    const std::uint64_t refused = 0;
    // Closed for lack of room, by the limit that was reached.
    const std::map<std::string, std::uint64_t> evicted = {};
    // Closed by a timeout, by what the connection was doing.
    const std::map<std::string, std::uint64_t> timedOut = {};

    bool operator==(const connection_counts &) const = default;
};

// Thread-safe.
connection_counts connectionCounts();

} // namespace lycheeshunt::http
