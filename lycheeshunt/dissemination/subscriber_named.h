#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// The node at the other end of a stream has said who it is.
struct subscriber_named
{
    const streams::connection_id connection;
    const base::node_id node;

    bool operator==(const subscriber_named &) const = default;
};

} // namespace lycheeshunt::dissemination
