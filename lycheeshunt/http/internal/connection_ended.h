#pragma once

#include "lycheeshunt/http/internal/connection_id.h"

namespace lycheeshunt::http::internal {

// Sent for every connection, also for one that was closed by a decision.
struct connection_ended
{
    const connection_id connection;

    bool operator==(const connection_ended &) const = default;
};

} // namespace lycheeshunt::http::internal
