#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>
#include <string_view>

namespace lycheeshunt::packets {

enum class direction;

// The encoding of a front end's packets. Decisions use only the summary and opaque bytes.
struct packet_codec
{
    base::result<ip_summary> (*const summarize)(std::string_view bytes, direction packetDirection);
    // Builds a reset in reply to a caller's packet; empty if the packet can't be answered with one.
    std::string (*const resetFor)(std::string_view callerPacket);
    // Converts a returned packet back to the bytes that its sender sent.
    std::string (*const asSent)(std::string bytes);
    // The address that packets to a caller are sent to, given the fabric's address in the settings.
    base::endpoint (*const towardsCaller)(const base::flow_key &key, const base::endpoint &fabric);

    bool operator==(const packet_codec &) const = default;
};

// The codec for plain IP packets in datagrams; the fabric forwards those to callers.
packet_codec ipPackets();

} // namespace lycheeshunt::packets
