#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// Asks another agent of the service who owns a flow. With isOpening set, the asking agent is about
// to open the flow, and an agent that knows no owner stores the asking agent as the owner.
struct flow_lookup
{
    const base::service_id service;
    const base::flow_key key;
    const routing::target asker;
    const base::generation at;
    const bool isOpening = false;

    bool operator==(const flow_lookup &) const = default;
};

} // namespace lycheeshunt::flows
