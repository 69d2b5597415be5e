#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// Who owns a flow, as its director or backup knows.
struct directory_entry
{
    const routing::target owner;
    // The owner's generation when it registered the flow.
    const base::generation at;
    const base::clock_time lastHeard;
    // Sequence of the registration; 0 when the entry came from a lookup.
    const std::uint32_t sequence = 0;

    bool operator==(const directory_entry &) const = default;
};

} // namespace lycheeshunt::flows
