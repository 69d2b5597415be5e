#pragma once

#include "lycheeshunt/replication/configuration.h"

namespace lycheeshunt::replication {

// Notice: the newest configuration in this VM's log has changed.
struct members_changed
{
    const replication::configuration configuration;

    bool operator==(const members_changed &) const = default;
};

} // namespace lycheeshunt::replication
