// Samples that every ring has.

#pragma once

#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/metrics/sample.h"

#include <string>
#include <vector>

namespace lycheeshunt::metrics {

// Depth and drops of a ring, labelled with its name. Thread-safe, as the ring is.
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
