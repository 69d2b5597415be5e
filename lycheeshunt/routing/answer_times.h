// The times from an opening packet to its answer in the recent past, as a histogram. It covers
// between one and two periods of 5 s, and longer while there are few answers.
//
//     times.record(span, now);
//     if (const std::optional<base::clock_time> slow = times.percentile95()) ...

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <optional>

namespace lycheeshunt::routing {

class answer_times
{
public:
    answer_times();

    void record(base::clock_time span, base::clock_time now);
    // Not exceeded by 95 percent of the answers, in whole milliseconds. Empty until enough answers
    // were recorded for an estimate.
    std::optional<base::clock_time> percentile95() const;

private:
    using axis = boost::histogram::axis::integer<int>;
    using histogram = boost::histogram::histogram<std::tuple<axis>,
                                                  boost::histogram::dense_storage<std::uint32_t>>;

    histogram m_current;
    histogram m_previous;
    std::uint32_t m_inCurrent = 0;
    std::uint32_t m_inPrevious = 0;
    base::clock_time m_currentSince;
};

} // namespace lycheeshunt::routing
