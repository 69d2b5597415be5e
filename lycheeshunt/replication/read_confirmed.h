#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// Notice: everything that was committed when the read was requested has been passed to the duties,
// so that the read may be served from their state.
struct read_confirmed
{
    const base::request_id request;

    bool operator==(const read_confirmed &) const = default;
};

} // namespace lycheeshunt::replication
