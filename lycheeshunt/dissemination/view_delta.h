#pragma once

#include "lycheeshunt/dissemination/view_change.h"
#include "lycheeshunt/dissemination/view_digest.h"

namespace lycheeshunt::dissemination {

// The change of a node's view from one generation to another, within the node's scope.
struct view_delta
{
    const base::generation from;
    const base::generation to;
    // Control's generation. A starting node takes no work before it has reached it.
    const base::generation newest;
    // Digest of the node's part of the view at `to`.
    const view_digest digest;
    const view_change change;

    bool operator==(const view_delta &) const = default;
};

} // namespace lycheeshunt::dissemination
