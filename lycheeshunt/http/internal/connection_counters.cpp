#include "lycheeshunt/http/internal/connection_counters.h"

#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::http::internal {

// Metrics exist from the start, so that a scraper sees the first increase of each.
connection_counters::connection_counters()
    : m_evicted {{textOf(eviction_reason::connectionsPerAddress), 0},
                 {textOf(eviction_reason::connections), 0},
                 {textOf(eviction_reason::descriptors), 0},
                 {textOf(eviction_reason::bodyBytes), 0}},
      m_timedOut {{textOf(connection_phase::silent), 0},  {textOf(connection_phase::header), 0},
                  {textOf(connection_phase::body), 0},    {textOf(connection_phase::writing), 0},
                  {textOf(connection_phase::closing), 0}, {textOf(connection_phase::idle), 0}}
{
}

connection_counters &connection_counters::ofProcess()
{
    static connection_counters counters;
    return counters;
}

void connection_counters::countOpened()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_open;
    ++m_accepted;
}

void connection_counters::countEnded()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_open;
}

void connection_counters::count(const connection_action &action)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::visit(
        base::overloaded {
            [this](const refuse_connection &) { ++m_refused; },
            [this](const evict_connection &evicted) { ++m_evicted[textOf(evicted.reason)]; },
            [this](const expire_connection &expired) { ++m_timedOut[textOf(expired.phase)]; },
        },
        action);
}

connection_counts connection_counters::read() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return connection_counts {m_open, m_accepted, m_refused, m_evicted, m_timedOut};
}

} // namespace lycheeshunt::http::internal
