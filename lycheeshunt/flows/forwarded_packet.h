#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/base/packet_bytes.h"
#include "lycheeshunt/flows/packet_stage.h"
#include "lycheeshunt/flows/request_class.h"
#include "lycheeshunt/packets/ip_summary.h"

#include <utility>
#include <vector>

namespace lycheeshunt::flows {

// Limit on the agents that a packet lists: those of all but the largest services.
constexpr std::size_t maxListedAgents = 64;

// A caller's packet on its way to the agent that owns its flow. Service and incarnation identify
// the receiver; any other agent refuses the packet, or searches where backend servers return
// packets.
struct forwarded_packet
{
    const base::service_id service;
    const base::incarnation incarnation;
    const base::generation at;
    const packet_stage stage = packet_stage::toDirector;
    const std::uint8_t hops = 0;
    const packets::ip_summary summary;
    const base::packet_bytes bytes;
    // The address at which the entry receives owner hints; port 0 when it accepts none.
    const base::endpoint entry = {};
    // With an offer, the agents that did not accept the flow; with a trial, those still to be
    // tried.
    const std::vector<base::node_id> agents = {};
    // With an opening packet: the flow may be open already. With others: an agent that may have the
    // flow was not queried or did not answer, or the packet's way is not known.
    const bool isDoubtful = false;
    // Set by the entry from the route of the address; agents forward it unchanged.
    const request_class requestClass = {};

    // The same packet at another stage.
    forwarded_packet with(packet_stage next, std::vector<base::node_id> listed, bool doubt) const
    {
        return forwarded_packet {
            service, incarnation,       at,    next,        hops, summary, bytes,
            entry,   std::move(listed), doubt, requestClass};
    }

    bool operator==(const forwarded_packet &) const = default;
};

} // namespace lycheeshunt::flows
