#pragma once

#include <cstdint>

namespace lycheeshunt::crest {

// One flow that a caller opens; all times in milliseconds.
struct work_item
{
    const std::int64_t at = 0;
    // Time in a slot; 0 for a feed, which holds a flow but no slot.
    const std::int64_t service = 0;
    // How long the flow stays open after its answer.
    const std::int64_t lingers = 0;
    const bool isLong = false;
    const std::uint32_t hash = 0;

    // Callers of long work wait longer; placement and admission are not told which is which.
    std::int64_t deadline() const { return at + 2000 + 3 * service; }
    bool isFeed() const { return service == 0; }

    bool operator==(const work_item &) const = default;
};

} // namespace lycheeshunt::crest
