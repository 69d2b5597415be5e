#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::replication {

// Notice: this VM cannot confirm that its state is current: notLeader, quorumLost, tooBusy or a
// storage error.
struct read_refused
{
    const base::request_id request;
    const base::error reason;

    bool operator==(const read_refused &) const = default;
};

} // namespace lycheeshunt::replication
