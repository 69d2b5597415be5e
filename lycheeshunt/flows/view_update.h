#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"

namespace lycheeshunt::flows {

// The view of a newer generation that the node has reached.
struct view_update
{
    const dissemination::shared_view view;

    bool operator==(const view_update &) const = default;
};

} // namespace lycheeshunt::flows
