// Accumulates values in a histogram. Not thread-safe: only the owning duty uses it.
//
//     distribution waits({1, 10, 100, 1000});
//     waits.record(waitMillis);
//     sample {"queue_wait_ms", "Wait in the queue.", waits.value()};

#pragma once

#include "lycheeshunt/metrics/histogram_value.h"

#include <boost/histogram.hpp>

#include <vector>

namespace lycheeshunt::metrics {

class distribution
{
public:
    // Precondition: at least two bounds, in ascending order.
    explicit distribution(std::vector<double> bounds);

    void record(double value);
    histogram_value value() const;

private:
    using axis = boost::histogram::axis::variable<double>;

    std::vector<double> m_bounds;
    boost::histogram::histogram<std::tuple<axis>> m_counts;
    double m_sum = 0;
};

} // namespace lycheeshunt::metrics
