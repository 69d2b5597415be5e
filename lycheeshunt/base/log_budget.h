// Bounds how many lines of each kind are written in a second, so that a storm of decisions makes no
// storm of lines.
//
//     if (const std::optional<std::uint64_t> omitted = budget.admit(kind, now)) ...
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

    // Nothing when the second's lines of this kind are used up; else how many were left out since
    // the last line of the kind.
    std::optional<std::uint64_t> admit(const std::string &kind, clock_time now);

private:
    struct usage
    {
        clock_time since;
        std::uint32_t written = 0;
        std::uint64_t omitted = 0;
    };

    const std::uint32_t m_linesPerSecond;
    std::mutex m_lock;
    std::map<std::string, usage> m_kinds;
};

} // namespace lycheeshunt::base
