#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// Asks for confirmation that this VM's state is current (a linearizable read).
struct read_request
{
    const base::request_id request;

    bool operator==(const read_request &) const = default;
};

} // namespace lycheeshunt::replication
