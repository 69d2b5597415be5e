#pragma once

#include "lycheeshunt/http/internal/connection_id.h"
#include "lycheeshunt/http/internal/connection_phase.h"

namespace lycheeshunt::http::internal {

// Any phase but body.
struct phase_entered
{
    const connection_id connection;
    const connection_phase phase;

    bool operator==(const phase_entered &) const = default;
};

} // namespace lycheeshunt::http::internal
