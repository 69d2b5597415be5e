#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/forwarded_packet.h"

namespace lycheeshunt::flows {

// A packet that the backend server may return, or whose flow was offered to another agent; kept so
// that its handling can continue when it is returned or retransmitted.
struct pending_delivery
{
    const forwarded_packet packet;
    const base::clock_time at;

    bool operator==(const pending_delivery &) const = default;
};

} // namespace lycheeshunt::flows
