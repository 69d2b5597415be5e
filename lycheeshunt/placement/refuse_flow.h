#pragma once

#include "lycheeshunt/base/error_code.h"
#include "lycheeshunt/placement/offer_id.h"

namespace lycheeshunt::placement {

// No agent can accept the flow.
struct refuse_flow
{
    const offer_id id;
    const base::error_code reason;

    bool operator==(const refuse_flow &) const = default;
};

} // namespace lycheeshunt::placement
