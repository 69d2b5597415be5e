#pragma once

#include "lycheeshunt/http/internal/connection_id.h"

#include <cstddef>

namespace lycheeshunt::http::internal {

// The header of a request is complete; the body needs at most this much memory.
struct body_expected
{
    const connection_id connection;
    const std::size_t bytes = 0;

    bool operator==(const body_expected &) const = default;
};

} // namespace lycheeshunt::http::internal
