// Discrete-event simulation: runs callbacks in virtual time, ordered by their due time and then by
// the order in which they were scheduled.

#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lycheeshunt::crest {

class event_queue
{
public:
    std::int64_t now() const { return m_now; }

    void after(std::int64_t millis, std::function<void()> run)
    {
        m_events.push(event {m_now + millis, m_nextOrder++, std::move(run)});
    }

    void runUntil(std::int64_t end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.run();
        }
        m_now = end;
    }

private:
    struct event
    {
        std::int64_t time;
        std::uint64_t order;
        std::function<void()> run;

        bool operator<(const event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    std::int64_t m_now = 0;
    std::uint64_t m_nextOrder = 0;
    std::priority_queue<event> m_events;
};

} // namespace lycheeshunt::crest
