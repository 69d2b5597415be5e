#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/scope_digests.h"

namespace lycheeshunt::dissemination {

// The view that snapshots are cut from. It stays the same while the history reaches back to it, so
// that nodes which start together share it and none starts afresh at each change.
struct snapshot_base
{
    const shared_view view;
    const scope_digests digests;

    bool operator==(const snapshot_base &) const = default;
};

} // namespace lycheeshunt::dissemination
