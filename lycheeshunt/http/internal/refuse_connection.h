#pragma once

#include "lycheeshunt/http/internal/connection_id.h"

#include <cstdint>

namespace lycheeshunt::http::internal {

// Closes the new connection: every other one has a complete request.
struct refuse_connection
{
    const connection_id connection;
    const std::uint32_t address = 0;

    bool operator==(const refuse_connection &) const = default;
};

} // namespace lycheeshunt::http::internal
