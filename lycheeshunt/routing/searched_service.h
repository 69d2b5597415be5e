#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::routing {

// A service that was searched for the owner of a flow, without success.
struct searched_service
{
    const base::service_id service;
    // The view by which the entry sent the packet.
    const base::generation at;
    // An agent that may have the flow could not be queried.
    const bool isDoubtful = false;

    bool operator==(const searched_service &) const = default;
};

} // namespace lycheeshunt::routing
