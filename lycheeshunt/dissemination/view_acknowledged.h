#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/streams/connection_id.h"

namespace lycheeshunt::dissemination {

// A node has this generation in force.
struct view_acknowledged
{
    const streams::connection_id connection;
    const base::generation at;

    bool operator==(const view_acknowledged &) const = default;
};

} // namespace lycheeshunt::dissemination
