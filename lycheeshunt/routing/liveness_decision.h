// Decides which agents an entry bypasses by its own observation, ahead of control: agents are
// probed in turn at a bounded rate, and one that misses several probes in a row, or that the
// network reports unreachable, is suspected. When most look dead the entry itself is probably cut
// off, and nobody is bypassed.
//
//     step<liveness_state, liveness_action> next = decide(std::move(state), message, now);

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/step.h"
#include "lycheeshunt/routing/liveness_message.h"
#include "lycheeshunt/routing/liveness_state.h"

namespace lycheeshunt::routing {

// Ticks come this often.
constexpr base::clock_time livenessTickEvery = base::clock_time::ofMillis(100);
// Each costs about 46 bytes with its IP and UDP headers, and as much for the answer: 30 a second
// are under 1.4 KB/s each way.
constexpr std::size_t probesPerTick = 3;

base::step<liveness_state, liveness_action>
decide(liveness_state state, const liveness_message &message, base::clock_time now);

} // namespace lycheeshunt::routing
