#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/scope_digests.h"

namespace lycheeshunt::dissemination {

// The view that snapshots are taken from. It is kept while the history covers it, so that nodes
// which start together share it and changes do not restart their snapshots.
struct snapshot_base
{
    const shared_view view;
    const scope_digests digests;

    bool operator==(const snapshot_base &) const = default;
};

} // namespace lycheeshunt::dissemination
