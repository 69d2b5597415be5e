#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/pending_batch.h"
#include "lycheeshunt/flows/registration_queue.h"

#include <map>

namespace lycheeshunt::flows {

// Outgoing registrations: those queued for each agent, and those sent but not acknowledged yet, by
// sequence number.
struct registrar_state
{
    std::map<base::node_id, registration_queue> queued;
    std::map<std::uint32_t, pending_batch> pending;
    std::uint32_t lastSequence = 0;
};

} // namespace lycheeshunt::flows
