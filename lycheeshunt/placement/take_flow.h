#pragma once

#include "lycheeshunt/placement/offer_id.h"

namespace lycheeshunt::placement {

// This agent becomes the owner.
struct take_flow
{
    const offer_id id;

    bool operator==(const take_flow &) const = default;
};

} // namespace lycheeshunt::placement
