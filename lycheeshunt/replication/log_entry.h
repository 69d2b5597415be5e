#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/replication/entry_kind.h"

#include <string>

namespace lycheeshunt::replication {

// One entry of the replicated log. Its index is the generation of the state after it is applied.
struct log_entry
{
    const base::generation index;
    const std::uint64_t term = 0;
    const entry_kind kind = entry_kind::none;
    // Wall-clock time of the proposal; informational, no decision depends on it.
    const base::clock_time acceptedAt;
    const std::string payload = {};

    bool operator==(const log_entry &) const = default;
};

} // namespace lycheeshunt::replication
