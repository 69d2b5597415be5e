// The slots of one backend server, the work in them and the work that waits.

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
    explicit admission_state(const tickets::service_limits &given)
        : limits(std::make_shared<const tickets::service_limits>(given)), allowed(given.slots)
    {
    }

    std::shared_ptr<const tickets::service_limits> limits;
    std::list<queued_work> queue;
    std::map<work_id, running_work> running;
    // Slots in use at most. Below limits->slots after the server shed load or restarted.
    double allowed;
    // Moving mean of the time that short work held its slot, in milliseconds; 0 is not known yet.
    double meanShortMillis = 0;
    std::optional<base::clock_time> lastCut = {};
    bool draining = false;
    bool emptyReported = false;
};

} // namespace lycheeshunt::admission
