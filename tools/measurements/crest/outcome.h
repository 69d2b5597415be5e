#pragma once

#include <cstdint>

namespace lycheeshunt::crest {

// What became of one piece of work; instants in milliseconds, -1 for never.
struct outcome
{
    std::int64_t startedAt = -1;
    std::int64_t answeredAt = -1;
    std::int64_t toldNotRunAt = -1;
    // The caller resent or cancelled.
    bool disturbed = false;
    bool lastToldNotRun = false;
    // Told that it was not run though it had run or ran afterwards without being asked for again.
    bool falselyNotRun = false;
    std::uint32_t arrivals = 0;
    std::uint32_t runs = 0;
    std::uint32_t replies = 0;
    std::uint32_t offers = 0;
};

} // namespace lycheeshunt::crest
