#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// Send a node the whole view.
struct send_view
{
    const streams::connection_id connection;
    const shared_view view;

    bool operator==(const send_view &) const = default;
};

} // namespace lycheeshunt::dissemination
