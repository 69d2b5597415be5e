#pragma once

#include "lycheeshunt/replication/configuration.h"

#include <memory>
#include <string>

namespace lycheeshunt::replication {

// Everything that the log up to and including `index` amounts to.
struct snapshot
{
    const base::generation index;
    const std::uint64_t term = 0;
    const replication::configuration configuration;
    // The entries that still matter, as encodeEntries makes them.
    const std::string entries;

    bool operator==(const snapshot &) const = default;
};

using shared_snapshot = std::shared_ptr<const snapshot>;

} // namespace lycheeshunt::replication
