#include "lycheeshunt/pacing/link_budget.h"

#include <algorithm>
#include <cmath>

namespace lycheeshunt::pacing {

namespace {

// The rest is left for probes, streams and answers to readiness queries.
constexpr double shareForPackets = 0.95;
// Ethernet, IP and UDP headers.
constexpr double overheadBytes = 66;
// Covers the time between a timer's end and the thread that waits for it. Links queue more.
constexpr double burstMillis = 15;
constexpr double minBurstBytes = 3000;
constexpr double millisPerSecond = 1000;

} // namespace

link_budget::link_budget(const link_rate &rate)
    : m_bytesPerMilli(static_cast<double>(rate.bytesPerSecond) / millisPerSecond * shareForPackets),
      m_maxCredit(std::max(minBurstBytes, m_bytesPerMilli * burstMillis)), m_credit(m_maxCredit)
{
}

void link_budget::refill(base::clock_time now)
{
    if (now <= m_refilledAt)
        return;
    const double elapsed = static_cast<double>((now - m_refilledAt).millis());
    m_credit = std::min(m_maxCredit, m_credit + elapsed * m_bytesPerMilli);
    m_refilledAt = now;
}

bool link_budget::isOpen(base::clock_time now)
{
    refill(now);
    return !isLimited() || m_credit > 0;
}

void link_budget::charge(std::size_t bytes, base::clock_time now)
{
    refill(now);
    if (isLimited())
        m_credit -= static_cast<double>(bytes) + overheadBytes;
}

base::clock_time link_budget::openAt(base::clock_time now)
{
    if (isOpen(now))
        return now;
    const double wait = std::floor(-m_credit / m_bytesPerMilli) + 1;
    return now + base::clock_time::ofMillis(static_cast<std::int64_t>(wait));
}

} // namespace lycheeshunt::pacing
