#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/dissemination/snapshot_cursor.h"
#include "lycheeshunt/dissemination/view_scope.h"

namespace lycheeshunt::dissemination {

// A node says who it is, what it needs and what it holds; sent again until it is answered.
struct view_request
{
    const base::node_id node;
    const base::incarnation incarnation;
    const view_scope scope = {};
    // Zero: the node needs a snapshot.
    const base::generation held = {};
    // The node will take no view that is older.
    const base::generation atLeast = {};
    // Of the snapshot that is under way; zero when none is.
    const base::generation snapshotAt = {};
    const snapshot_cursor cursor = {};

    bool operator==(const view_request &) const = default;
};

} // namespace lycheeshunt::dissemination
