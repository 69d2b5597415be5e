#pragma once

#include "lycheeshunt/base/endpoint.h"

namespace lycheeshunt::settings {

// What an entry needs besides the common settings.
struct entry_settings
{
    // Bound here: callers' packets from the fabric.
    const base::endpoint packets;

    bool operator==(const entry_settings &) const = default;
};

} // namespace lycheeshunt::settings
