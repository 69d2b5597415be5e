#pragma once

#include "lycheeshunt/http/internal/connection_id.h"
#include "lycheeshunt/http/internal/connection_phase.h"

#include <cstdint>

namespace lycheeshunt::http::internal {

// Closes a connection that has been in its phase for too long.
struct expire_connection
{
    const connection_id connection;
    const std::uint32_t address = 0;
    const connection_phase phase;

    bool operator==(const expire_connection &) const = default;
};

} // namespace lycheeshunt::http::internal
