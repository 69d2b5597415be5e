#pragma once

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/subscriber.h"
#include "lycheeshunt/streams/connection_id.h"

#include <map>

namespace lycheeshunt::dissemination {

// The newest view and how far each node has come.
struct publisher_state
{
    shared_view view = std::make_shared<const cluster_view>(cluster_view {});
    std::map<streams::connection_id, subscriber> subscribers;

    bool operator==(const publisher_state &) const = default;
};

} // namespace lycheeshunt::dissemination
