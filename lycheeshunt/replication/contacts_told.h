#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <vector>

namespace lycheeshunt::replication {

// Control VMs that the settings name now.
struct contacts_told
{
    const std::vector<base::endpoint> contacts = {};

    bool operator==(const contacts_told &) const = default;
};

} // namespace lycheeshunt::replication
