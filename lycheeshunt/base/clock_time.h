// A number of milliseconds, used both for points in time and for durations.
//
//     const clock_time deadline = clock_time::steady() + clock_time::ofSeconds(4);
//
// Decisions never read a clock: the thread that runs them passes the current time in.

#pragma once

#include <compare>
#include <cstdint>

namespace lycheeshunt::base {

class clock_time
{
public:
    constexpr clock_time() = default;

    static constexpr clock_time ofMillis(std::int64_t millis) { return clock_time(millis); }
    static constexpr clock_time ofSeconds(std::int64_t seconds)
    {
        return clock_time(seconds * millisPerSecond);
    }

    // Monotonic time since an unspecified epoch. Use it for every timeout.
    static clock_time steady();

    // Time since 1970-01-01 UTC. It may jump in either direction; use it only for text that people
    // read.
    static clock_time wall();

    constexpr std::int64_t millis() const { return m_millis; }

    constexpr clock_time operator+(clock_time other) const
    {
        return clock_time(m_millis + other.m_millis);
    }
    constexpr clock_time operator-(clock_time other) const
    {
        return clock_time(m_millis - other.m_millis);
    }
    constexpr clock_time operator*(std::int64_t factor) const
    {
        return clock_time(m_millis * factor);
    }
    constexpr clock_time operator/(std::int64_t divisor) const
    {
        return clock_time(m_millis / divisor);
    }

    constexpr bool operator==(const clock_time &) const = default;
    constexpr std::strong_ordering operator<=>(const clock_time &) const = default;

private:
    static constexpr std::int64_t millisPerSecond = 1000;

    constexpr explicit clock_time(std::int64_t millis) : m_millis(millis) { }

    std::int64_t m_millis = 0;
};

} // namespace lycheeshunt::base
