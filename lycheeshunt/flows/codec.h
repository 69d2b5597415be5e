// Encodes the messages of agents and entries about flows in MessagePack, one message to a datagram.
// Decoding accepts arbitrary bytes and returns an error code for malformed ones.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/flows/peer_message.h"
#include "lycheeshunt/packets/packet_codec.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeshunt::flows {

struct packet_header;

using flow_datagram = std::variant<forwarded_packet, peer_message>;

// Encodes everything before the IP packet, whose bytes follow directly.
std::string encodePacketHeader(const forwarded_packet &packet, std::size_t packetBytes);

std::string encodePacket(const forwarded_packet &packet);
std::string encodePeer(const peer_message &message);

base::result<flow_datagram>
decodeDatagram(std::string_view bytes, const packets::packet_codec &codec = packets::ipPackets());

// Upper bound: three 64-bit numbers, the agents and thirteen short fields.
constexpr std::size_t maxPacketHeaderBytes = 96 + 9 * maxListedAgents;

// As encodePacketHeader, into a buffer of at least maxPacketHeaderBytes. Returns the bytes used.
std::size_t writePacketHeader(const packet_header &header, std::size_t packetBytes,
                              std::span<char> out);

} // namespace lycheeshunt::flows
