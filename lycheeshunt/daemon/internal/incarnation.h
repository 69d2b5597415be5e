// Creates the incarnation number of a process at its start.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::daemon::internal {

// Increases with each start of the VM's process, unless the VM's clock is set back by more than the
// time between two starts.
inline base::incarnation newIncarnation()
{
    return base::incarnation(static_cast<std::uint64_t>(base::clock_time::wall().millis()));
}

} // namespace lycheeshunt::daemon::internal
