#include "lycheeshunt/base/clock_time.h"

#include <chrono>

namespace lycheeshunt::base {

clock_time clock_time::steady()
{
    return ofMillis(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::steady_clock::now().time_since_epoch())
                        .count());
}

clock_time clock_time::wall()
{
    return ofMillis(std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count());
}

} // namespace lycheeshunt::base
