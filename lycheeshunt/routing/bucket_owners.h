#pragma once

#include <compare>
#include <cstdint>

namespace lycheeshunt::routing {

// Indexes in bucket_table::targets() of a bucket's director and its backup. They are equal when
// the service has only one agent.
struct bucket_owners
{
    const std::uint16_t director = 0;
    const std::uint16_t backup = 0;

    bool operator==(const bucket_owners &) const = default;
    std::strong_ordering operator<=>(const bucket_owners &) const = default;
};

} // namespace lycheeshunt::routing
