// Splits a view into bounded pieces. A piece depends only on the view, the scope and its start, so
// control keeps no state for a node between two pieces.
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

// Maximum number of objects in one piece: about 20 KB of members.
constexpr std::size_t snapshotPieceObjects = 256;

// Returns the objects of the scope after the cursor, in a fixed order.
snapshot_part partAfter(const cluster_view &view, const view_scope &scope,
                        const snapshot_cursor &cursor);

// Returns the part of the view that belongs to the scope.
cluster_view restrictedTo(const cluster_view &view, const view_scope &scope);

} // namespace lycheeshunt::dissemination
