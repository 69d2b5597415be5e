#pragma once

#include "lycheeshunt/base/flow_key.h"

#include <optional>
#include <string>

namespace lycheeshunt::soak {

struct tcp_segment
{
    base::flow_key flow;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    bool synchronizes = false;
    bool finishes = false;
    bool resets = false;
    std::string payload = {};

    bool operator==(const tcp_segment &) const = default;
};

enum class segment_source { caller, server };

// The IP packet of a segment. All but the first packet of a flow acknowledge.
std::string encode(const tcp_segment &segment, segment_source from);
// Nothing if the bytes are not an IPv4 packet with TCP.
std::optional<tcp_segment> decode(const std::string &packet, segment_source from);

} // namespace lycheeshunt::soak
