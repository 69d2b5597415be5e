// Decides what control sends to whom, and what counts as in force. A node has one delta under way
// at a time; what comes meanwhile goes into its next.
//
//     step<publisher_state, dissemination_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/dissemination/dissemination_message.h"
#include "lycheeshunt/dissemination/publisher_state.h"

namespace lycheeshunt::dissemination {

// The history holds no more changed objects than this, and so does a delta.
constexpr std::size_t maxHistoryObjects = 16'384;
constexpr std::size_t maxHistoryEntries = 1024;
// A delta that is not acknowledged is sent again after this.
constexpr base::clock_time resendAfter = base::clock_time::ofMillis(1000);

base::step<publisher_state, dissemination_action>
decide(publisher_state state, const dissemination_message &message, base::clock_time now);

} // namespace lycheeshunt::dissemination
