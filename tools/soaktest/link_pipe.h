// One direction of a connection: keeps the order of the bytes, and holds them back under a fault.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <deque>
#include <optional>
#include <string>

namespace lycheeshunt::soak {

class link_pipe
{
public:
    void setFault(base::clock_time delay, bool isSilent);
    void push(std::string bytes, base::clock_time now);
    // The sender closed its end.
    void end() { m_isEnded = true; }

    // The bytes that may be sent now; empty if there are none.
    const std::string &due(base::clock_time now);
    // The first `count` of the due bytes were sent.
    void consume(std::size_t count);
    // When held bytes become due by themselves.
    std::optional<base::clock_time> nextDue() const;

    bool isSilent() const { return m_isSilent; }
    // The sender is not read while silence holds or too much waits.
    bool mayRead() const;
    // All bytes were sent, and none will follow.
    bool isFinished() const;

private:
    struct chunk
    {
        base::clock_time dueAt;
        std::string bytes;
    };

    std::deque<chunk> m_chunks;
    std::string m_due;
    std::size_t m_waiting = 0;
    base::clock_time m_delay;
    bool m_isSilent = false;
    bool m_isEnded = false;
};

} // namespace lycheeshunt::soak
