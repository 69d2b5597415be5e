#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::flows {

// An owner tells a director (or its backup) that the flow is its own, or, when it has ended, that
// it no longer is.
struct flow_registration
{
    const base::service_id service;
    const base::flow_key key;
    const base::node_id owner;
    const bool alive = true;

    bool operator==(const flow_registration &) const = default;
};

} // namespace lycheeshunt::flows
