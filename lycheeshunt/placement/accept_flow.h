#pragma once

#include "lycheeshunt/placement/offer_id.h"

namespace lycheeshunt::placement {

// This agent becomes the owner of the flow.
struct accept_flow
{
    const offer_id id;

    bool operator==(const accept_flow &) const = default;
};

} // namespace lycheeshunt::placement
