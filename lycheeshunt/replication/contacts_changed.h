#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <vector>

namespace lycheeshunt::replication {

// The settings now list these addresses of control VMs.
struct contacts_changed
{
    const std::vector<base::endpoint> contacts = {};

    bool operator==(const contacts_changed &) const = default;
};

} // namespace lycheeshunt::replication
