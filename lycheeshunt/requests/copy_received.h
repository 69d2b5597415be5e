#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Another director, whose backup is this one, replicates the record that an owner is about to start
// a request.
struct copy_received
{
    const request_identity identity;
    const base::node_id owner;
    const base::clock_time deadline;
    const bool idempotent = false;

    bool operator==(const copy_received &) const = default;
};

} // namespace lycheeshunt::requests
