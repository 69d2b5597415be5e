#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/flows/packet_stage.h"
#include "lycheeshunt/flows/request_class.h"

#include <vector>

namespace lycheeshunt::flows {

// The fields before the IP packet in the datagram of a forwarded packet.
struct packet_header
{
    const base::service_id service;
    const base::incarnation incarnation;
    const base::generation at;
    const packet_stage stage = packet_stage::toDirector;
    const std::uint8_t hops = 0;
    const base::endpoint entry = {};
    const std::vector<base::node_id> agents = {};
    const bool isDoubtful = false;
    const request_class requestClass = {};

    bool operator==(const packet_header &) const = default;
};

} // namespace lycheeshunt::flows
