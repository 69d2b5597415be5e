// The orders of one run. They depend on the seed and the length of the run alone, and every process
// that is stopped, killed or paused runs again before the end.

#pragma once

#include "tools/soaktest/planned_order.h"

#include <string>
#include <vector>

namespace lycheeshunt::soak {

struct topology;

std::vector<planned_order> scheduleFor(const topology &deployment, std::uint64_t seed,
                                       base::clock_time length);

// One line for each order, as --print-schedule prints it.
std::string textOf(const planned_order &planned);
std::string textOf(const soak_order &order);

} // namespace lycheeshunt::soak
