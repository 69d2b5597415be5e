#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <string>

namespace lycheeshunt::evacuations {

// Another VM leads; the order for this zone has to be sent to its API.
struct redirect_to_leader
{
    const base::endpoint api;
    const std::string zone;

    bool operator==(const redirect_to_leader &) const = default;
};

} // namespace lycheeshunt::evacuations
