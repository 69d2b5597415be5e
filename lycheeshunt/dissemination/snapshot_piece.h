#pragma once

#include "lycheeshunt/dissemination/snapshot_cursor.h"
#include "lycheeshunt/dissemination/view_change.h"
#include "lycheeshunt/dissemination/view_digest.h"

namespace lycheeshunt::dissemination {

// A bounded part of a snapshot of a node's view at one generation.
struct snapshot_piece
{
    const base::generation at;
    const base::generation newest;
    // Digest of the complete snapshot.
    const view_digest digest;
    const snapshot_cursor start;
    const snapshot_cursor next;
    const view_change part;
    // Number of pieces that control sends after this one without a request. Above 0 only for nodes
    // that have sent a view_window.
    const std::uint32_t follows = 0;

    bool operator==(const snapshot_piece &) const = default;
};

} // namespace lycheeshunt::dissemination
