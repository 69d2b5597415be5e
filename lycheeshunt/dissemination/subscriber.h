#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::dissemination {

// The node on one stream and the generation it has acknowledged. An unnamed node is zero.
struct subscriber
{
    const base::node_id node;
    const base::generation acknowledged;

    bool operator==(const subscriber &) const = default;
};

} // namespace lycheeshunt::dissemination
