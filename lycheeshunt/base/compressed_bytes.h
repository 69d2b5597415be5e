#pragma once

#include <cstdint>
#include <string>

namespace lycheeshunt::base {

struct compressed_bytes
{
    // Number of bytes before compression.
    const std::uint32_t length = 0;
    const std::string bytes = {};

    bool operator==(const compressed_bytes &) const = default;
};

} // namespace lycheeshunt::base
