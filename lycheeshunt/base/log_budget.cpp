#include "lycheeshunt/base/log_budget.h"

#include <utility>

namespace lycheeshunt::base {

std::optional<std::uint64_t> log_budget::admit(const std::string &kind, clock_time now)
{
    const std::lock_guard<std::mutex> lock(m_lock);
    usage &used = m_kinds[kind];
    if (now - used.since >= clock_time::ofSeconds(1)) {
        used.since = now;
        used.written = 0;
    }
    if (used.written >= m_linesPerSecond) {
        ++used.omitted;
        return std::nullopt;
    }
    ++used.written;
    return std::exchange(used.omitted, 0);
}

} // namespace lycheeshunt::base
