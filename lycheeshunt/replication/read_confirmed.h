#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// All that was committed when the read was asked for has been handed to the duties.
struct read_confirmed
{
    const base::request_id request;

    bool operator==(const read_confirmed &) const = default;
};

} // namespace lycheeshunt::replication
