#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"

namespace lycheeshunt::dissemination {

// Publish a newer view to the node's other duties.
struct adopt_view
{
    const shared_view view;

    bool operator==(const adopt_view &) const = default;
};

} // namespace lycheeshunt::dissemination
