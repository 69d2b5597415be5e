#pragma once

#include "lycheeshunt/dissemination/view_change.h"
#include "lycheeshunt/dissemination/view_digest.h"

namespace lycheeshunt::dissemination {

// Leads a node from one generation to another, as far as its scope goes.
struct view_delta
{
    const base::generation from;
    const base::generation to;
    // Control's own generation: a node that starts takes no work before it has come this far.
    const base::generation newest;
    // Of the node's part of the view at `to`.
    const view_digest digest;
    const view_change change;

    bool operator==(const view_delta &) const = default;
};

} // namespace lycheeshunt::dissemination
