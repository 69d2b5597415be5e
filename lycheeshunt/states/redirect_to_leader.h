#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::states {

// Another VM leads; the request has to be sent to its API.
struct redirect_to_leader
{
    const base::endpoint api;

    bool operator==(const redirect_to_leader &) const = default;
};

} // namespace lycheeshunt::states
