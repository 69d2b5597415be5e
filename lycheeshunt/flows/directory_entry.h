#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/routing/target.h"

namespace lycheeshunt::flows {

// The owner of a flow, as stored by the director or backup.
struct directory_entry
{
    const routing::target owner;
    // The owner's generation when it registered the flow.
    const base::generation at;
    const base::clock_time lastHeard;
    // Sequence number of the registration; 0 when the owner is known from a lookup or an offer.
    const std::uint32_t sequence = 0;

    bool operator==(const directory_entry &) const = default;
};

} // namespace lycheeshunt::flows
