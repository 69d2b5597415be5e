// Rate limiter for log lines: bounds the lines of each kind per second, so that a burst of
// decisions does not flood the log.
//
//     if (const std::optional<std::uint64_t> omitted = budget.tryAcquire(kind, now)) ...
//
// Thread-safe.

#pragma once

#include "lycheeshunt/base/clock_time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace lycheeshunt::base {

class log_budget
{
public:
    explicit log_budget(std::uint32_t linesPerSecond) : m_linesPerSecond(linesPerSecond) { }

    // Returns nothing when this kind has reached its limit for the current second. Otherwise counts
    // one line and returns how many were omitted since the previous line of this kind.
    std::optional<std::uint64_t> tryAcquire(const std::string &kind, clock_time now);

private:
    struct usage
    {
        clock_time windowStart;
        std::uint32_t written = 0;
        std::uint64_t omitted = 0;
    };

    const std::uint32_t m_linesPerSecond;
    std::mutex m_lock;
    std::map<std::string, usage> m_kinds;
};

} // namespace lycheeshunt::base
