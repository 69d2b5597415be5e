// The number of this incarnation of the process.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::daemon::internal {

// Greater at each later start of the VM's process, as long as the VM's clock does not step back
// over the time between two starts.
inline base::incarnation newIncarnation()
{
    return base::incarnation(static_cast<std::uint64_t>(base::clock_time::wall().millis()));
}

} // namespace lycheeshunt::daemon::internal
