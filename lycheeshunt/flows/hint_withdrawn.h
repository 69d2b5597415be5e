#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::flows {

// Notifies an entry that this agent's backend server does not have the flow, so that further
// packets go to the flow's director.
struct hint_withdrawn
{
    const base::service_id service;
    const base::flow_key key;
    const base::node_id node;

    bool operator==(const hint_withdrawn &) const = default;
};

} // namespace lycheeshunt::flows
