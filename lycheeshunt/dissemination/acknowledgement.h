#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/dissemination/view_digest.h"

namespace lycheeshunt::dissemination {

// A node has the view of this generation, with this digest, in force.
struct acknowledgement
{
    const base::generation at;
    const view_digest digest;

    bool operator==(const acknowledgement &) const = default;
};

} // namespace lycheeshunt::dissemination
