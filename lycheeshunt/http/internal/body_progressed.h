#pragma once

#include "lycheeshunt/http/internal/connection_id.h"

namespace lycheeshunt::http::internal {

// A further part of a body has arrived, large enough for a caller that sends as it can.
struct body_progressed
{
    const connection_id connection;

    bool operator==(const body_progressed &) const = default;
};

} // namespace lycheeshunt::http::internal
