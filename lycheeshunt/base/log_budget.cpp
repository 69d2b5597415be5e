#include "lycheeshunt/base/log_budget.h"

#include <utility>

namespace lycheeshunt::base {

std::optional<std::uint64_t> log_budget::tryAcquire(const std::string &kind, clock_time now)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    usage &current = m_kinds[kind];
    if (now - current.windowStart >= clock_time::ofSeconds(1)) {
        current.windowStart = now;
        current.written = 0;
    }
    if (current.written >= m_linesPerSecond) {
        ++current.omitted;
        return std::nullopt;
    }
    ++current.written;
    return std::exchange(current.omitted, 0);
}

} // namespace lycheeshunt::base
