#pragma once

#include "lycheeshunt/replication/entry_kind.h"

#include <string>

namespace lycheeshunt::replication {

// A duty asks for its payload to become a log entry.
struct proposal
{
    const entry_kind kind = entry_kind::none;
    const std::string payload;

    bool operator==(const proposal &) const = default;
};

} // namespace lycheeshunt::replication
