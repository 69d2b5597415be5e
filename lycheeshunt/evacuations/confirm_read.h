#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::evacuations {

// Requests a check that this VM has applied every entry committed so far; read_outcome is the
// reply.
struct confirm_read
{
    const base::request_id request;

    bool operator==(const confirm_read &) const = default;
};

} // namespace lycheeshunt::evacuations
