#pragma once

#include "lycheeshunt/replication/configuration.h"

namespace lycheeshunt::replication {

// The control group has other members now, as this VM knows it.
struct members_changed
{
    const replication::configuration configuration;

    bool operator==(const members_changed &) const = default;
};

} // namespace lycheeshunt::replication
