#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/request_class.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <netinet/in.h>

#include <cstdint>
#include <optional>

namespace lycheeshunt::flows {

// The progress of the requests and answers of one flow.
struct request_progress
{
    // The caller has sent payload that the backend server has not started to answer.
    const bool isBusy = false;
    // The backend server has sent payload, which proves that it has the flow.
    const bool isAnswered = false;
    // Whether the caller has sent payload, and the TCP sequence number after its last byte.
    const bool hasSent = false;
    const std::uint32_t sequenceEnd = 0;
    // When the request in flight was delivered to the backend server; of an upload in transfer, the
    // last packet of it.
    const base::clock_time since = {};
    // Sequence number of the caller's last payload, and of the last one before the server's answer.
    const std::optional<std::uint32_t> lastSequence = {};
    const std::optional<std::uint32_t> answeredSequence = {};
    // The request in flight is an upload whose caller has not paused.
    const bool isInTransfer = false;

    // The backend server may be working on the request, not only receiving it.
    bool holdsSlot() const { return isBusy && !isInTransfer; }

    // Whether the packet carries payload that was not seen before. A caller retransmits a packet
    // that is not acknowledged in time, even when the answer is on its way.
    bool hasNewPayload(const packets::ip_summary &packet) const
    {
        const bool isNumbered = packet.key.protocol == IPPROTO_TCP;
        return packet.payloadBytes > 0
            && (!hasSent || !isNumbered
                || static_cast<std::int32_t>(packet.sequence - sequenceEnd) >= 0);
    }

    // Whether the server has answered the stream that the packet is part of. A caller may use its
    // port for a new flow before this agent notices the end of the one before.
    bool hasAnsweredStreamOf(const packets::ip_summary &packet) const
    {
        // More than a caller sends before it gets an answer.
        constexpr std::uint32_t maxDistance = 1U << 20U;
        if (!isAnswered || packet.key.protocol != IPPROTO_TCP)
            return isAnswered;
        return answeredSequence
            && (packet.sequence - *answeredSequence <= maxDistance
                || *answeredSequence - packet.sequence <= maxDistance);
    }

    // A retransmission shows that the caller still sends, too: the server lacks a part of the body.
    // An upload stays one when a packet comes from an entry that sends no class.
    request_progress afterCaller(const packets::ip_summary &packet,
                                 const request_class &requestClass, base::clock_time now) const
    {
        if (packet.payloadBytes == 0)
            return *this;
        const bool isNew = hasNewPayload(packet);
        const bool isRequest = isBusy || isNew;
        const bool transfers = isRequest && (isInTransfer || requestClass.isUpload());
        const bool starts = isNew && !isBusy;
        return request_progress {isRequest,
                                 isAnswered,
                                 hasSent || isNew,
                                 isNew ? packet.sequence + packet.payloadBytes : sequenceEnd,
                                 starts || transfers ? now : since,
                                 packet.sequence,
                                 answeredSequence,
                                 transfers};
    }

    // The caller of an upload has paused: it waits for the answer, or has stopped.
    request_progress afterPause() const
    {
        return request_progress {isBusy, isAnswered,   hasSent,         sequenceEnd,
                                 since,  lastSequence, answeredSequence};
    }

    request_progress afterServer(const packets::ip_summary &packet) const
    {
        if (packet.payloadBytes == 0)
            return *this;
        return request_progress {false, true,         hasSent,     sequenceEnd,
                                 since, lastSequence, lastSequence};
    }

    // The server has the payload that was sent last.
    request_progress withRequest() const
    {
        return request_progress {true,  isAnswered,   hasSent,         sequenceEnd,
                                 since, lastSequence, answeredSequence};
    }

    // The server is not expected to answer any more.
    request_progress withoutRequest() const
    {
        return request_progress {false, isAnswered,   hasSent,         sequenceEnd,
                                 since, lastSequence, answeredSequence};
    }

    bool operator==(const request_progress &) const = default;
};

} // namespace lycheeshunt::flows
