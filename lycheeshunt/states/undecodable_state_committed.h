#pragma once

#include <cstdint>
#include <optional>

namespace lycheeshunt::states {

// The log has committed a desired state that this build can't decode.
struct undecodable_state_committed
{
    // Nothing if not even the version can be decoded.
    const std::optional<std::uint64_t> version;

    bool operator==(const undecodable_state_committed &) const = default;
};

} // namespace lycheeshunt::states
