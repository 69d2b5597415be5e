#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/flows/flow_registration.h"

namespace lycheeshunt::flows {

// Tell another agent who owns a flow.
struct send_registration
{
    const base::endpoint to;
    const flow_registration registration;

    bool operator==(const send_registration &) const = default;
};

} // namespace lycheeshunt::flows
