#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/flow_phase.h"
#include "lycheeshunt/flows/request_progress.h"

namespace lycheeshunt::flows {

// A flow whose packets go to this agent's backend server.
struct owned_flow
{
    const base::clock_time lastPacket;
    // The time of the next refresh of its registrations.
    const base::clock_time refreshAt;
    const flow_phase phase = flow_phase::opening;
    const request_progress progress = {};
    // With phase tried: the caller has finished, and the last packet that was tried carries
    // payload.
    const bool hasCallerFinished = false;
    const bool triesPayload = false;

    // Whether this agent names itself as the owner to other agents.
    bool isClaimed() const
    {
        return phase != flow_phase::copied && phase != flow_phase::tried
            && phase != flow_phase::ended;
    }

    bool operator==(const owned_flow &) const = default;
};

} // namespace lycheeshunt::flows
