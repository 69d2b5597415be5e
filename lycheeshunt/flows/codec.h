// MessagePack form of what agents and entries send each other about flows, one message to a
// datagram. Decoding takes any bytes and returns a numbered error for bad ones.

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

// Everything of a forwarded packet but the IP packet itself, whose bytes follow directly.
std::string encodePacketHeader(const forwarded_packet &packet, std::size_t packetBytes);

std::string encodePacket(const forwarded_packet &packet);
std::string encodePeer(const peer_message &message);

base::result<flow_datagram>
decodeDatagram(std::string_view bytes, const packets::packet_codec &codec = packets::ipPackets());

// Agents that a packet lists at most; an agent that is left out is only asked once more.
constexpr std::size_t maxListedAgents = 16;
// No header is longer: three 64-bit numbers, the agents and twelve short fields.
constexpr std::size_t maxPacketHeaderBytes = 96 + 9 * maxListedAgents;

// As encodePacketHeader, into a buffer of at least maxPacketHeaderBytes. Returns the bytes used.
std::size_t writePacketHeader(const packet_header &header, std::size_t packetBytes,
                              std::span<char> out);

} // namespace lycheeshunt::flows
