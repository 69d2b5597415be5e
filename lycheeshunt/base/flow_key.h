// Identifies a flow by both endpoints and the IP protocol number.

#pragma once

#include "lycheeshunt/base/endpoint.h"

#include <cstddef>
#include <functional>

namespace lycheeshunt::base {

struct flow_key
{
    const endpoint caller;
    const endpoint service;
    const std::uint8_t protocol = 0;

    // "192.0.2.7:40001>198.51.100.1:443"
    std::string text() const { return caller.text() + ">" + service.text(); }

    bool operator==(const flow_key &) const = default;
    std::strong_ordering operator<=>(const flow_key &) const = default;
};

// The hash is equal on every node, so that all nodes map a flow to the same bucket.
std::uint64_t hashOf(const flow_key &key);

} // namespace lycheeshunt::base

template <>
struct std::hash<lycheeshunt::base::flow_key>
{
    std::size_t operator()(const lycheeshunt::base::flow_key &key) const
    {
        return lycheeshunt::base::hashOf(key);
    }
};
