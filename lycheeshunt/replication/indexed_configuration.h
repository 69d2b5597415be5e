#pragma once

#include "lycheeshunt/replication/configuration.h"

namespace lycheeshunt::replication {

// A configuration and the index of the log entry that holds it.
struct indexed_configuration
{
    const base::generation index;
    const replication::configuration configuration;

    bool operator==(const indexed_configuration &) const = default;
};

} // namespace lycheeshunt::replication
