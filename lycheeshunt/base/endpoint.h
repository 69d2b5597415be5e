// An IPv4 address and a port, both in host byte order.

#pragma once

#include "lycheeshunt/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeshunt::base {

struct endpoint
{
    const std::uint32_t address = 0;
    const std::uint16_t port = 0;

    // "192.0.2.7:443"
    std::string text() const;

    bool operator==(const endpoint &) const = default;
    std::strong_ordering operator<=>(const endpoint &) const = default;
};

// Parses "a.b.c.d:port". Returns settingsBadValue for any other text.
result<endpoint> parseEndpoint(std::string_view text);

} // namespace lycheeshunt::base
