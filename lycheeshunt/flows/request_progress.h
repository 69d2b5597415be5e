#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <netinet/in.h>

#include <cstdint>

namespace lycheeshunt::flows {

// How far the requests and answers of one flow have come.
struct request_progress
{
    // The caller has sent something that the backend server has not begun to answer.
    const bool isBusy = false;
    // The backend server has sent payload, so the flow is certainly its own.
    const bool isAnswered = false;
    // Whether the caller has sent payload, and where it ended in the caller's sequence.
    const bool hasSent = false;
    const std::uint32_t sentTo = 0;
    // When the request that the server works on reached it.
    const base::clock_time since = {};

    // Whether the packet carries payload that did not come before: a caller repeats a packet that
    // is not acknowledged in time, also when it is answered already.
    bool hasNewPayload(const packets::ip_summary &packet) const
    {
        const bool isNumbered = packet.key.protocol == IPPROTO_TCP;
        return packet.payloadBytes > 0
            && (!hasSent || !isNumbered
                || static_cast<std::int32_t>(packet.sequence - sentTo) >= 0);
    }

    request_progress afterCaller(const packets::ip_summary &packet, base::clock_time now) const
    {
        if (!hasNewPayload(packet))
            return *this;
        return request_progress {true, isAnswered, true, packet.sequence + packet.payloadBytes,
                                 isBusy ? since : now};
    }

    request_progress afterServer(const packets::ip_summary &packet) const
    {
        if (packet.payloadBytes == 0)
            return *this;
        return request_progress {false, true, hasSent, sentTo, since};
    }

    // Nothing is expected of the server any more.
    request_progress withoutRequest() const
    {
        return request_progress {false, isAnswered, hasSent, sentTo, since};
    }

    bool operator==(const request_progress &) const = default;
};

} // namespace lycheeshunt::flows
