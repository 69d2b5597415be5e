#pragma once

#include <cstdint>

namespace lycheeshunt::crest {

// A flow that a caller opens. All times are in milliseconds.
struct work_item
{
    const std::int64_t arrivedAt = 0;
    // Time for which the request occupies a slot; 0 for a feed, which keeps a flow open but uses no
    // slot.
    const std::int64_t serviceTime = 0;
    // Time for which the flow stays open after its answer.
    const std::int64_t lingerTime = 0;
    const bool isLong = false;
    const std::uint32_t hash = 0;

    // Callers of long requests wait longer. Placement and admission get no hint whether a request
    // is long, other than this deadline.
    std::int64_t deadline() const { return arrivedAt + 2000 + 3 * serviceTime; }
    bool isFeed() const { return serviceTime == 0; }

    bool operator==(const work_item &) const = default;
};

} // namespace lycheeshunt::crest
