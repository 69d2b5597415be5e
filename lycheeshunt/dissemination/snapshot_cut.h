#pragma once

#include "lycheeshunt/dissemination/snapshot_cursor.h"
#include "lycheeshunt/dissemination/view_change.h"
#include "lycheeshunt/dissemination/view_digest.h"

#include <memory>

namespace lycheeshunt::dissemination {

// The part of a snapshot_piece that is the same for all nodes of a scope. It is cut and encoded
// once; the newest generation is added when it is sent.
struct snapshot_cut
{
    const base::generation at;
    // Digest of the complete snapshot.
    const view_digest digest;
    const snapshot_cursor start;
    const snapshot_cursor next;
    const view_change part;

    bool operator==(const snapshot_cut &) const = default;
};

using shared_cut = std::shared_ptr<const snapshot_cut>;

} // namespace lycheeshunt::dissemination
