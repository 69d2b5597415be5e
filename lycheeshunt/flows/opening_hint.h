#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// Notifies an entry that this agent's backend server has answered an opening packet. If another
// server has answered a copy of it, the caller chooses between the two by its next packet.
struct opening_hint
{
    const base::service_id service;
    const base::flow_key key;
    const routing::target owner;

    bool operator==(const opening_hint &) const = default;
};

} // namespace lycheeshunt::flows
