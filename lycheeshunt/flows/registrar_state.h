#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/pending_batch.h"
#include "lycheeshunt/flows/registration_queue.h"

#include <map>

namespace lycheeshunt::flows {

// Registrations on their way out: those queued for each director, and those sent but not yet
// acknowledged, by sequence.
struct registrar_state
{
    std::map<base::node_id, registration_queue> queued;
    std::map<std::uint32_t, pending_batch> pending;
    std::uint32_t lastSequence = 0;
};

} // namespace lycheeshunt::flows
