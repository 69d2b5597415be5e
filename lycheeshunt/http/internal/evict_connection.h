#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/http/internal/connection_id.h"
#include "lycheeshunt/http/internal/connection_phase.h"
#include "lycheeshunt/http/internal/eviction_reason.h"

#include <cstdint>

namespace lycheeshunt::http::internal {

// Closes a connection in favour of another one.
struct evict_connection
{
    const connection_id connection;
    const eviction_reason reason;
    const std::uint32_t address = 0;
    const connection_phase phase;
    // Time since its last progress: its opening, the end of a header, a part of a body or an
    // answer.
    const base::clock_time age;

    bool operator==(const evict_connection &) const = default;
};

} // namespace lycheeshunt::http::internal
