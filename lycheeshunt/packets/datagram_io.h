// Receives and sends single datagrams without blocking.

#pragma once

#include "lycheeshunt/packets/received_datagram.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheeshunt::packets {

// Returns nothing when no datagram is queued.
std::optional<std::string> receiveDatagram(int descriptor);
std::optional<received_datagram> receiveDatagramFrom(int descriptor);

// Returns false if the datagram can't be sent now; it is dropped then, as any network may drop it.
bool sendDatagram(int descriptor, const base::endpoint &to, std::string_view bytes);

} // namespace lycheeshunt::packets
