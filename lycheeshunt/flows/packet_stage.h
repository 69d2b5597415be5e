#pragma once

#include <cstdint>

namespace lycheeshunt::flows {

// Where on its way from entry to backend server a packet is.
enum class packet_stage : std::uint8_t {
    toDirector = 1, // from an entry, or from an agent that is not the director
    offer = 2, // first packet of a flow, offered to a second candidate
    toOwner = 3, // the director knows the owner
    declined = 4, // back to the director: the agent taken for the owner will not open the flow
    trial = 5, // its owner may have restarted: tried at the server, then at the next one listed
    unknown = 6, // back to the entry: no agent of the service has the flow
};

} // namespace lycheeshunt::flows
