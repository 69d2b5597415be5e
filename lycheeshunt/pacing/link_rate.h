#pragma once

#include <compare>
#include <cstdint>

namespace lycheeshunt::pacing {

// The bandwidth of a VM's own link. 0 stands for a link that needs no pacing.
struct link_rate
{
    const std::uint64_t bytesPerSecond = 0;

    bool isLimited() const { return bytesPerSecond > 0; }

    auto operator<=>(const link_rate &) const = default;
};

} // namespace lycheeshunt::pacing
