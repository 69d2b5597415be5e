#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// Notifies an entry of the owner of a flow, so that it sends further packets directly there. An
// entry that has lost the hint sends them to the flow's director again.
struct owner_hint
{
    const base::service_id service;
    const base::flow_key key;
    const routing::target owner;

    bool operator==(const owner_hint &) const = default;
};

} // namespace lycheeshunt::flows
