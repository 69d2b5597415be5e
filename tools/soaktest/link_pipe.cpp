#include "tools/soaktest/link_pipe.h"

namespace lycheeshunt::soak {

void link_pipe::setFault(base::clock_time delay, bool isSilent)
{
    m_delay = delay;
    m_isSilent = isSilent;
}

void link_pipe::push(std::string bytes, base::clock_time now)
{
    // Bytes do not overtake earlier ones when the delay shrinks.
    base::clock_time dueAt = now + m_delay;
    if (!m_chunks.empty() && m_chunks.back().dueAt > dueAt)
        dueAt = m_chunks.back().dueAt;
    m_waiting += bytes.size();
    m_chunks.push_back({dueAt, std::move(bytes)});
}

const std::string &link_pipe::due(base::clock_time now)
{
    static const std::string none;
    while (!m_isSilent && !m_chunks.empty() && m_chunks.front().dueAt <= now) {
        m_due += m_chunks.front().bytes;
        m_chunks.pop_front();
    }
    return m_isSilent ? none : m_due;
}

void link_pipe::consume(std::size_t count)
{
    m_due.erase(0, count);
    m_waiting -= count;
}

std::optional<base::clock_time> link_pipe::nextDue() const
{
    if (m_isSilent || m_chunks.empty())
        return std::nullopt;
    return m_chunks.front().dueAt;
}

bool link_pipe::mayRead() const
{
    constexpr std::size_t maxWaiting = 1 << 20;
    return !m_isSilent && !m_isEnded && m_waiting < maxWaiting;
}

bool link_pipe::isFinished() const
{
    return m_isEnded && !m_isSilent && m_waiting == 0;
}

} // namespace lycheeshunt::soak
