#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// This VM can't tell what is current: notLeader or quorumLost.
struct read_refused
{
    const base::request_id request;
    const base::error reason;

    bool operator==(const read_refused &) const = default;
};

} // namespace lycheeshunt::replication
