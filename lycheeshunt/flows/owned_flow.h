#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/flow_phase.h"

namespace lycheeshunt::flows {

// A flow whose packets go to this agent's backend server.
struct owned_flow
{
    const base::clock_time lastPacket;
    // When its registrations are next repeated.
    const base::clock_time refreshAt;
    const flow_phase phase = flow_phase::opening;
    // The caller has sent something that the backend server has not begun to answer.
    const bool isBusy = false;
    // The backend server has sent payload, so the flow is certainly its own.
    const bool isAnswered = false;

    bool operator==(const owned_flow &) const = default;
};

} // namespace lycheeshunt::flows
