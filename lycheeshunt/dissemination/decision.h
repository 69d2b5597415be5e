// Decides which views control sends to which node, and which generations are in force. At most one
// delta per node is in flight; later changes go into the next one.
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
// An unacknowledged delta is retransmitted after this time.
constexpr base::clock_time acknowledgementTimeout = base::clock_time::ofMillis(1000);

base::step<publisher_state, dissemination_action>
decide(publisher_state state, const dissemination_message &message, base::clock_time now);

} // namespace lycheeshunt::dissemination
