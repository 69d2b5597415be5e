#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/flows/registered_flow.h"

#include <list>

namespace lycheeshunt::flows {

// Flows to register with one agent, sent together, at the latest at dueAt.
struct registration_queue
{
    std::list<registered_flow> flows;
    base::clock_time dueAt;
};

} // namespace lycheeshunt::flows
