#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <optional>

namespace lycheeshunt::settings {

// What an entry needs besides the common settings.
struct entry_settings
{
    // Bound here: callers' packets from the fabric.
    const base::endpoint packets;
    // Bound here: what agents say about flows. Without it each packet goes by its director.
    const std::optional<base::endpoint> hints = {};
    // The fabric takes packets to callers here.
    const std::optional<base::endpoint> fabric = {};
    // Bound here: whether the entry is ready for packets (HTTP).
    const std::optional<base::endpoint> readiness = {};

    bool operator==(const entry_settings &) const = default;
};

} // namespace lycheeshunt::settings
