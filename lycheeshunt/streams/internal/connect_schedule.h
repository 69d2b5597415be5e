// When a client that looks for a server starts its next attempt to connect. Attempts run beside
// each other, so that servers that do not reply delay it by little each.
//
//     connect_schedule schedule(servers.size(), timing, roundDelay);
//     if (schedule.mayStart(now)) { schedule.addStart(now); ... }

#pragma once

#include "lycheeshunt/streams/stream_timing.h"

#include <cstddef>
#include <optional>

namespace lycheeshunt::streams::internal {

class connect_schedule
{
public:
    // `roundDelay` is the wait once so many attempts as there are servers were refused.
    connect_schedule(std::size_t servers, const stream_timing &timing, base::clock_time roundDelay)
        : m_servers(servers), m_timing(timing), m_roundDelay(roundDelay)
    {
    }

    // The time of the next attempt; nothing until one of those under way has ended.
    std::optional<base::clock_time> nextStart(base::clock_time now) const;
    bool mayStart(base::clock_time now) const
    {
        const std::optional<base::clock_time> next = nextStart(now);
        return next && *next <= now;
    }

    void addStart(base::clock_time now);
    // The server can be reached but accepts no connections.
    void addRefusal(base::clock_time now);
    // The server has not replied in time.
    void addTimeout() { --m_underWay; }

private:
    const std::size_t m_servers;
    const stream_timing m_timing;
    const base::clock_time m_roundDelay;
    std::size_t m_underWay = 0;
    std::size_t m_refused = 0;
    std::optional<base::clock_time> m_startedAt;
    // The first refusal since the last start.
    std::optional<base::clock_time> m_refusedAt;
};

} // namespace lycheeshunt::streams::internal
