#include "lycheeshunt/routing/answer_times.h"

namespace lycheeshunt::routing {

namespace {

// Two periods cover the last 10 s at most, so that a server that has become slow shows within
// seconds.
constexpr base::clock_time period = base::clock_time::ofSeconds(5);
// Fewer answers have less than three above their 95th percentile, so one slow answer would move it.
constexpr std::uint32_t minAnswers = 50;
// In ms. Callers retransmit after this time, so slower answers share one bin.
constexpr int maxSpan = 200;
constexpr std::uint64_t percentile = 95;
constexpr std::uint64_t whole = 100;

} // namespace

answer_times::answer_times()
    : m_current(boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<std::uint32_t>(), axis(0, maxSpan))),
      m_previous(m_current)
{
}

void answer_times::record(base::clock_time span, base::clock_time now)
{
    if (m_inCurrent >= minAnswers && now - m_currentSince >= period) {
        m_previous = m_current;
        m_inPrevious = m_inCurrent;
        m_current.reset();
        m_inCurrent = 0;
    }
    if (m_inCurrent == 0)
        m_currentSince = now;
    m_current(static_cast<int>(span.millis()));
    ++m_inCurrent;
}

// In Boost.Histogram, index size() is the overflow bin.
std::optional<base::clock_time> answer_times::percentile95() const
{
    const std::uint64_t total = std::uint64_t(m_inCurrent) + m_inPrevious;
    if (total < minAnswers)
        return std::nullopt;
    std::uint64_t counted = 0;
    int span = 0;
    for (; span < maxSpan; ++span) {
        counted += std::uint64_t(m_current.at(span)) + m_previous.at(span);
        if (counted * whole >= total * percentile)
            break;
    }
    return base::clock_time::ofMillis(span);
}

} // namespace lycheeshunt::routing
