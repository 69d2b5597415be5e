#pragma once

#include "lycheeshunt/dissemination/sent_delta.h"
#include "lycheeshunt/dissemination/view_request.h"

#include <optional>
#include <vector>

namespace lycheeshunt::dissemination {

// The node on one stream, and the generation that it has.
struct subscriber
{
    const base::node_id node = {};
    const base::incarnation incarnation = {};
    const view_scope scope = {};
    // Generation that the node has. Zero while it has no view or receives a snapshot.
    const base::generation current = {};
    const base::generation acknowledged = {};
    // Oldest first. Each starts from `current` or from the end of an earlier one, so that an
    // acknowledgement of any of them counts. A delta to generation zero stands for the first piece
    // of a snapshot that the node has not requested.
    const std::vector<sent_delta> inFlight = {};
    // From the sending of a delta to its acknowledgement, if known.
    const std::optional<base::clock_time> roundTrip = {};

    // Generation that the node will have once it has received what is in flight.
    base::generation sentTo() const
    {
        const bool isOffered = !inFlight.empty() && inFlight.back().to == base::generation();
        return inFlight.empty() || isOffered ? current : inFlight.back().to;
    }
    // Whether the request is from the same process with the same view as before.
    bool isAt(const view_request &request) const
    {
        return current != base::generation() && current == request.current && node == request.node
            && incarnation == request.incarnation && scope == request.scope;
    }

    bool operator==(const subscriber &) const = default;
};

} // namespace lycheeshunt::dissemination
