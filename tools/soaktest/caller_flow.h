#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/flow_key.h"

#include <string>

namespace lycheeshunt::soak {

enum class caller_phase { opening, waiting, idle, closing, ended };

struct caller_flow
{
    base::flow_key key;
    // The flow ends in order after this many requests.
    int requestLimit = 0;
    caller_phase phase = caller_phase::opening;
    std::uint32_t nextSequence = 0;
    std::uint32_t acknowledged = 0;
    int requests = 0;
    std::string lastPacket = {};
    base::clock_time startedAt = {};
    base::clock_time sentAt = {};
    // When an idle flow sends its next request.
    base::clock_time dueAt = {};
};

} // namespace lycheeshunt::soak
