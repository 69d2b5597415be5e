#pragma once

#include "tools/soaktest/observed_event.h"

#include <functional>

namespace lycheeshunt::soak {

// Passes what a duty observes to the checks. Thread-safe; blocks while their ring is full.
using event_sink = std::function<void(const observation &)>;

} // namespace lycheeshunt::soak
