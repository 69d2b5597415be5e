// Reads IPv4 packets that carry TCP or UDP (RFC 791, RFC 9293, RFC 768), and makes the resets
// that tell a caller its flow is over. Pure functions; thread-safe.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>
#include <string_view>

namespace lycheeshunt::packets {

enum class direction { fromCaller, toCaller };

// packetTruncated or packetUnsupported when the bytes are no such packet. A fragment is
// unsupported: its later pieces carry no ports.
base::result<ip_summary> summarize(std::string_view bytes, direction way);

// A TCP reset that answers the caller's packet; empty for a packet that must not be answered with
// one (a reset itself, or not TCP).
std::string resetFor(std::string_view callerPacket);

} // namespace lycheeshunt::packets
