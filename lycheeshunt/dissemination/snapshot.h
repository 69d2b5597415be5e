// Cuts a view into bounded pieces. A piece depends on nothing but the view, the scope and where it
// starts, so control keeps nothing for a node between two pieces.
//
//     const snapshot_part first = partAfter(view, scope, snapshot_cursor {});
//     const snapshot_part second = partAfter(view, scope, first.next);

#pragma once

#include "lycheeshunt/dissemination/snapshot_cursor.h"
#include "lycheeshunt/dissemination/view_change.h"

namespace lycheeshunt::dissemination {

struct cluster_view;

struct snapshot_part
{
    const view_change part;
    const snapshot_cursor next;

    bool operator==(const snapshot_part &) const = default;
};

// Objects of one piece, at the most: some 20 KB of members.
constexpr std::size_t snapshotPieceObjects = 256;

// The scope's objects after the cursor, in a fixed order.
snapshot_part partAfter(const cluster_view &view, const view_scope &scope,
                        const snapshot_cursor &cursor);

// The scope's part of a view.
cluster_view restrictedTo(const cluster_view &view, const view_scope &scope);

} // namespace lycheeshunt::dissemination
