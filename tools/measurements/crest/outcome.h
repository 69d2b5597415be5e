#pragma once

#include <cstdint>

namespace lycheeshunt::crest {

// Outcome of one work item. Times are virtual, in milliseconds; -1 means never.
struct outcome
{
    std::int64_t startedAt = -1;
    std::int64_t answeredAt = -1;
    std::int64_t refusedAt = -1;
    // The caller resent or cancelled the request.
    bool faultInjected = false;
    bool lastReplyNotRun = false;
    // The caller was told that the request was not run, although it had run before that reply or
    // ran later without being resent.
    bool wronglyReportedNotRun = false;
    std::uint32_t arrivals = 0;
    std::uint32_t runs = 0;
    std::uint32_t replies = 0;
    std::uint32_t offers = 0;
};

} // namespace lycheeshunt::crest
