#pragma once

#include <compare>
#include <cstdint>

namespace lycheeshunt::requests {

// Identifies a request; assigned by the caller and the same in each retransmission.
struct request_identity
{
    const std::uint64_t caller = 0;
    const std::uint64_t number = 0;

    bool operator==(const request_identity &) const = default;
    std::strong_ordering operator<=>(const request_identity &) const = default;
};

} // namespace lycheeshunt::requests
