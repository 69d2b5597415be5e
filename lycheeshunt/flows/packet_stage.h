#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// The stage of a packet on its way from entry to backend server.
enum class packet_stage : std::uint8_t {
    toDirector = 1, // from an entry, or from an agent that is not the director
    offer = 2, // the first packet of a flow, offered to another agent
    toOwner = 3, // the director knows the owner
    declined = 4, // back to the director: the presumed owner does not accept the packet
    trial = 5, // the owner may have restarted: tried at one backend server after the other
    unknown = 6, // back to the entry: no agent of the service has the flow
};

} // namespace lycheeshunt::flows
