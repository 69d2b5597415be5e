// Parses IPv4 packets that carry TCP or UDP (RFC 791, RFC 9293, RFC 768), and builds the resets
// that end a caller's flow. Pure functions; thread-safe.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>
#include <string_view>

namespace lycheeshunt::packets {

enum class direction { fromCaller, toCaller };

// Fails with packetTruncated or packetUnsupported if the bytes are no such packet. Fragments are
// unsupported, because only the first fragment of a packet carries the ports.
base::result<ip_summary> summarize(std::string_view bytes, direction packetDirection);

// Returns a TCP reset in reply to the caller's packet. Empty if the packet must not be answered
// with a reset: it is a reset itself, or not TCP.
std::string resetFor(std::string_view callerPacket);

} // namespace lycheeshunt::packets
