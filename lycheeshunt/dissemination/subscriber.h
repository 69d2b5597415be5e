#pragma once

#include "lycheeshunt/dissemination/sent_delta.h"
#include "lycheeshunt/dissemination/view_scope.h"

#include <optional>

namespace lycheeshunt::dissemination {

// The node on one stream, and the generation that it has.
struct subscriber
{
    const base::node_id node = {};
    const base::incarnation incarnation = {};
    const view_scope scope = {};
    // Generation that the next delta starts from. Zero while the node has no view or receives a
    // snapshot.
    const base::generation current = {};
    const base::generation acknowledged = {};
    // A delta to generation zero stands for the first piece of a snapshot that the node has not
    // requested.
    const std::optional<sent_delta> sent = {};

    bool operator==(const subscriber &) const = default;
};

} // namespace lycheeshunt::dissemination
