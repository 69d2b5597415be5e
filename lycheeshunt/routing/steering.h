// Decides where an entry sends a caller's packet.

#pragma once

#include "lycheeshunt/flows/packet_stage.h"
#include "lycheeshunt/packets/ip_summary.h"
#include "lycheeshunt/routing/bypassed_agents.h"
#include "lycheeshunt/routing/flow_hints.h"
#include "lycheeshunt/routing/routing_table.h"

#include <variant>

namespace lycheeshunt::routing {

// Send the packet on, as one for this stage of its way.
struct steer_to
{
    const route way;
    const flows::packet_stage stage = flows::packet_stage::toDirector;

    bool operator==(const steer_to &) const = default;
};

// Tell the caller at once that its flow can't be: nothing has run.
struct refuse_caller
{
    const base::error_code reason;

    bool operator==(const refuse_caller &) const = default;
};

// Do nothing: a reset could end a flow that somebody owns.
struct drop_packet
{
    const base::error_code reason;

    bool operator==(const drop_packet &) const = default;
};

using steering = std::variant<steer_to, refuse_caller, drop_packet>;

steering steer(const routing_table &table, const bypassed_agents &bypassed, flow_hints &hints,
               const packets::ip_summary &packet, base::clock_time now);

// No agent of the service has the flow. Goes on with the next service that may have it; when none
// is left, the caller hears so, unless some agent could not be asked.
steering steerAfterUnknown(const routing_table &table, const bypassed_agents &bypassed,
                           flow_hints &hints, const packets::ip_summary &packet,
                           base::service_id unknownTo, bool isDoubtful);

} // namespace lycheeshunt::routing
