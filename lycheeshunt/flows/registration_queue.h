#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/registered_flow.h"

#include <deque>

namespace lycheeshunt::flows {

// Flows to register with one director; sent together, at the latest when due.
struct registration_queue
{
    std::deque<registered_flow> flows;
    base::clock_time dueAt;
};

} // namespace lycheeshunt::flows
