#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <string>

namespace lycheeshunt::replication {

// A control VM listed in the settings.
struct control_peer
{
    const std::string name;
    const base::endpoint streams;

    bool operator==(const control_peer &) const = default;
};

} // namespace lycheeshunt::replication
