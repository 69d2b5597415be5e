// Receives and sends single datagrams. Neither call ever waits.

#pragma once

#include "lycheeshunt/packets/received_datagram.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeshunt::packets {

// Nothing when no datagram is there.
std::optional<std::string> receiveDatagram(int descriptor);
std::optional<received_datagram> receiveDatagramFrom(int descriptor);

// A datagram that can't be sent now is lost, as on any network; returns false then.
bool sendDatagram(int descriptor, const base::endpoint &to, std::string_view bytes);

} // namespace lycheeshunt::packets
