#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/requests/request_identity.h"

namespace lycheeshunt::requests {

// Replicates to the backup director the record that the owner is about to start the request.
struct copy_to_backup
{
    const request_identity identity;
    const base::node_id owner;
    const base::clock_time deadline;
    const bool idempotent = false;

    bool operator==(const copy_to_backup &) const = default;
};

} // namespace lycheeshunt::requests
