// MessagePack form of what agents and entries send each other about flows, one message to a
// datagram. Decoding takes any bytes and returns a numbered error for bad ones.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/peer_message.h"

#include <string>
#include <string_view>
#include <variant>

namespace lycheeshunt::flows {

using flow_datagram = std::variant<forwarded_packet, peer_message>;

// Everything of a forwarded packet but the IP packet itself, whose bytes follow directly.
std::string encodePacketHeader(const forwarded_packet &packet, std::size_t packetBytes);

std::string encodePacket(const forwarded_packet &packet);
std::string encodePeer(const peer_message &message);

base::result<flow_datagram> decodeDatagram(std::string_view bytes);

} // namespace lycheeshunt::flows
