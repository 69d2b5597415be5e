#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/dissemination/snapshot_cursor.h"
#include "lycheeshunt/dissemination/view_scope.h"

namespace lycheeshunt::dissemination {

// A node subscribes with its identity, its scope and the generation that it has. Retried until
// control answers.
struct view_request
{
    const base::node_id node;
    const base::incarnation incarnation;
    const view_scope scope = {};
    // Generation of the node's view. Zero if the node needs a snapshot.
    const base::generation current = {};
    // The node ignores older views.
    const base::generation atLeast = {};
    // Generation of the snapshot in progress; zero if there is none.
    const base::generation snapshotAt = {};
    const snapshot_cursor cursor = {};

    bool operator==(const view_request &) const = default;
};

} // namespace lycheeshunt::dissemination
