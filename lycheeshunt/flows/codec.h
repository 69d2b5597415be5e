// MessagePack form of what agents and entries send each other about flows, one message to a
// datagram. Decoding takes any bytes and returns a numbered error for bad ones.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>
#include <variant>

namespace lycheeshunt::flows {

struct forwarded_packet;
struct flow_registration;

using flow_datagram = std::variant<forwarded_packet, flow_registration>;

// Everything of a forwarded packet but the IP packet itself, whose bytes follow directly.
std::string encodePacketHeader(const forwarded_packet &packet, std::size_t packetBytes);

std::string encodePacket(const forwarded_packet &packet);
std::string encodeRegistration(const flow_registration &registration);

base::result<flow_datagram> decodeDatagram(std::string_view bytes);

} // namespace lycheeshunt::flows
