// Decides which agents an entry bypasses by its own observation, before control detects a failure:
// agents are probed in turn at a bounded rate, and one that misses several probes in a row, or that
// the network reports unreachable, is suspected. An availability zone whose agents all are silent
// is bypassed as a whole, unless every zone is: then the entry itself is cut off. When most agents
// of the other zones are suspected, probes are being lost, and of these zones none is bypassed.
//
//     step<liveness_state, liveness_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/routing/liveness_message.h"
#include "lycheeshunt/routing/liveness_state.h"

namespace lycheeshunt::routing {

// Interval at which liveness_tick is to be sent.
constexpr base::clock_time livenessTickInterval = base::clock_time::ofMillis(100);
// A probe takes about 46 bytes with its IP and UDP headers, and so does its echo: 30 per second
// are under 1.4 KB/s in each direction.
constexpr std::size_t probesPerTick = 3;
// Further probes, of agents that missed one or answered again: at most 100 per second, under 5 KB/s
// in each direction.
constexpr std::size_t repeatedProbesPerTick = 10;

base::step<liveness_state, liveness_action>
decide(liveness_state state, const liveness_message &message, base::clock_time now);

} // namespace lycheeshunt::routing
