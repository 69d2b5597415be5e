// State of admission at one agent: the slots of its backend server, running work and queued work.

#pragma once

#include "lycheeshunt/admission/queued_work.h"
#include "lycheeshunt/admission/running_work.h"
#include "lycheeshunt/tickets/service_limits.h"
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace lycheeshunt::admission {

struct admission_state
{
    explicit admission_state(const tickets::service_limits &initialLimits)
        : limits(std::make_shared<const tickets::service_limits>(initialLimits)),
          allowed(initialLimits.slots)
    {
    }

    std::shared_ptr<const tickets::service_limits> limits;
    std::list<queued_work> queue;
    std::map<work_id, running_work> running;
    // Current concurrency limit. Less than limits->slots after the server shed load or restarted.
    double allowed;
    // Moving average of the time short work occupied its slot, in milliseconds; 0 until the first
    // sample.
    double meanShortMillis = 0;
    std::optional<base::clock_time> lastDecrease = {};
    bool draining = false;
    bool drainedReported = false;
};

} // namespace lycheeshunt::admission
