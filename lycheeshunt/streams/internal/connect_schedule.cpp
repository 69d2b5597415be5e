#include "lycheeshunt/streams/internal/connect_schedule.h"

#include <algorithm>

namespace lycheeshunt::streams::internal {

std::optional<base::clock_time> connect_schedule::nextStart(base::clock_time now) const
{
    if (m_underWay >= m_timing.maxAttempts)
        return std::nullopt;
    if (!m_startedAt)
        return now;
    const base::clock_time afterStart = *m_startedAt + m_timing.attemptDelay;
    if (!m_refusedAt)
        return afterStart;
    if (m_refused % m_servers == 0)
        return *m_refusedAt + m_roundDelay;
    return std::min(afterStart, *m_refusedAt + m_timing.refusedDelay);
}

void connect_schedule::addStart(base::clock_time now)
{
    ++m_underWay;
    m_startedAt.reset();
    m_startedAt.emplace(now);
    m_refusedAt.reset();
}

void connect_schedule::addRefusal(base::clock_time now)
{
    --m_underWay;
    ++m_refused;
    if (!m_refusedAt)
        m_refusedAt.emplace(now);
}

} // namespace lycheeshunt::streams::internal
