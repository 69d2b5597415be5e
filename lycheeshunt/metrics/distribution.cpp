#include "lycheeshunt/metrics/distribution.h"

namespace lycheeshunt::metrics {

distribution::distribution(std::vector<double> bounds)
    : m_bounds(std::move(bounds)),
      m_counts(boost::histogram::make_histogram(axis(m_bounds.begin(), m_bounds.end())))
{
}

void distribution::record(double value)
{
    m_counts(value);
    m_sum += value;
}

// In Boost.Histogram, index -1 is the underflow bin and index size() is the overflow bin.
histogram_value distribution::value() const
{
    std::vector<std::uint64_t> counts;
    const int bins = m_counts.axis().size();
    for (int i = -1; i <= bins; ++i)
        counts.push_back(static_cast<std::uint64_t>(m_counts.at(i)));
    return histogram_value {m_bounds, std::move(counts), m_sum};
}

} // namespace lycheeshunt::metrics
