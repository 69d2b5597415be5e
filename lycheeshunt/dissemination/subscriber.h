#pragma once

#include "lycheeshunt/dissemination/sent_delta.h"
#include "lycheeshunt/dissemination/view_scope.h"

#include <optional>

namespace lycheeshunt::dissemination {

// The node on one stream, and how far it has come.
struct subscriber
{
    const base::node_id node = {};
    const base::incarnation incarnation = {};
    const view_scope scope = {};
    // Zero while the node has no view or is given a snapshot.
    const base::generation held = {};
    const base::generation acknowledged = {};
    // To generation zero: the first piece of a snapshot that the node did not ask for.
    const std::optional<sent_delta> sent = {};

    bool operator==(const subscriber &) const = default;
};

} // namespace lycheeshunt::dissemination
