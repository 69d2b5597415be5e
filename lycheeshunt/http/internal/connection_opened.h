#pragma once

#include "lycheeshunt/http/internal/connection_id.h"

#include <cstdint>

namespace lycheeshunt::http::internal {

// The address is IPv4, in host byte order.
struct connection_opened
{
    const connection_id connection;
    const std::uint32_t address = 0;

    bool operator==(const connection_opened &) const = default;
};

} // namespace lycheeshunt::http::internal
