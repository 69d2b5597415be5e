// When a thread that handles messages runs its periodic work. A tick that takes longer than its
// interval is due again when it ends, so the messages that waited at that moment are handled first:
// they may hold what the tick works for, such as acknowledgements and announcements.
//
//     tick_schedule ticks(interval, clock_time::steady());
//     while (...) {
//         const std::optional<T> message = inbox.popFor(ticks.waitAt(clock_time::steady()));
//         ticks.noteMessage(message.has_value());
//         ...
//         const clock_time now = clock_time::steady();
//         if (ticks.isDue(now)) {
//             ...
//             ticks.noteTick(now, inbox.depth());
//         }
//     }
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <algorithm>
#include <cstddef>

namespace lycheeshunt::base {

class tick_schedule
{
public:
    tick_schedule(clock_time interval, clock_time firstTick)
        : m_interval(interval), m_next(firstTick)
    {
    }

    // How long to wait for a message.
    clock_time waitAt(clock_time now) const { return std::max(m_next - now, clock_time()); }

    // Call it after each wait.
    void noteMessage(bool hasMessage)
    {
        m_waiting = hasMessage && m_waiting > 0 ? m_waiting - 1 : 0;
    }

    bool isDue(clock_time now) const { return m_waiting == 0 && now >= m_next; }

    // `now` is the start of the tick; `waiting` counts the messages in the inbox at its end.
    void noteTick(clock_time now, std::size_t waiting)
    {
        m_next = now + m_interval;
        m_waiting = waiting;
    }

private:
    const clock_time m_interval;
    clock_time m_next;
    // Messages to handle before the next tick.
    std::size_t m_waiting = 0;
};

} // namespace lycheeshunt::base
