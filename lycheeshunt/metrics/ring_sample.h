// Samples that are reported for every ring.

#pragma once

#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/metrics/sample.h"

#include <string>
#include <vector>

namespace lycheeshunt::metrics {

// Appends the depth and the number of dropped items of a ring, labelled with its name. Safe to call
// while other threads use the ring.
template <typename T>
void addRing(std::vector<sample> &samples, const std::string &name, const base::ring<T> &ring)
{
    const std::vector<label> labels {label {"ring", name}};
    samples.push_back(sample {"ring_depth", "Items that wait in the ring.",
                              gauge_value {static_cast<double>(ring.depth())}, labels});
    samples.push_back(sample {"ring_dropped_total", "Items that found the ring full.",
                              counter_value {ring.dropped()}, labels});
}

} // namespace lycheeshunt::metrics
