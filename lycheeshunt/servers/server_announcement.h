#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>
#include <string>

namespace lycheeshunt::servers {

// What a backend server says of itself. Each start of a server is a life of its own, told apart by
// the identity and the instant of its start.
struct server_announcement
{
    const std::string identity;
    const base::clock_time startedAt;
    // Grows within a life.
    const std::uint64_t sequence = 0;
    const std::string service;
    const bool isDraining = false;
    // Requests that it works on at once.
    const std::uint32_t slots = 0;

    bool isSameLifeAs(const server_announcement &other) const
    {
        return identity == other.identity && startedAt == other.startedAt;
    }

    bool operator==(const server_announcement &) const = default;
};

} // namespace lycheeshunt::servers
