// Decides which views control sends to which node, and which generations are in force. A node gets
// the next delta once it has acknowledged one; until then it gets what came since, at growing
// intervals, and requests what it lacks if an earlier delta was lost. Nodes with the same
// generation and scope get the same message.
//
//     step<publisher_state, dissemination_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/dissemination/dissemination_message.h"
#include "lycheeshunt/dissemination/publisher_state.h"

namespace lycheeshunt::dissemination {

// Maximum number of changed objects in the history, and therefore in a delta.
constexpr std::size_t maxHistoryObjects = 16'384;
constexpr std::size_t maxHistoryEntries = 1024;
// If a delta is not acknowledged within this time and the time that its objects take on a narrow
// link that also carries packets, another one follows it; after each further one the time doubles.
constexpr base::clock_time acknowledgementTimeout = base::clock_time::ofMillis(1000);
constexpr base::clock_time transferTimePerObject = base::clock_time::ofMillis(2);
// Maximum number of deltas to one node of which an acknowledgement counts.
constexpr std::size_t maxDeltasInFlight = 4;
// Maximum number of pieces sent for one request: at most 80 KB even if they do not compress, which
// take 0.2 s on a link of 3.2 Mbit/s, so that a node that repeats its request after 1 s has
// received them.
constexpr std::uint32_t maxPieceWindow = 4;

base::step<publisher_state, dissemination_action>
decide(publisher_state state, const dissemination_message &message, base::clock_time now);

} // namespace lycheeshunt::dissemination
