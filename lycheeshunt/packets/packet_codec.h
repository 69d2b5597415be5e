#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <string>
#include <string_view>

namespace lycheeshunt::packets {

enum class direction;

// What a front end knows of the form of its packets. Decisions see the summary and opaque bytes.
struct packet_codec
{
    base::result<ip_summary> (*const summarize)(std::string_view bytes, direction way);
    // A reset in answer to a caller's packet; empty when none can be made.
    std::string (*const resetFor)(std::string_view callerPacket);
    // A returned packet, as its sender wrote it.
    std::string (*const asSent)(std::string bytes);
    // Where packets to a caller are sent, given the fabric's address in the settings.
    base::endpoint (*const towardsCaller)(const base::flow_key &key, const base::endpoint &fabric);

    bool operator==(const packet_codec &) const = default;
};

// Plain IP packets in datagrams; the fabric passes those to callers on.
packet_codec ipPackets();

} // namespace lycheeshunt::packets
