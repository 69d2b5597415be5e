// The thread of one operator. Requests block it for requestTimeout at most.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "tools/soaktest/event_sink.h"
#include "tools/soaktest/operator_model.h"
#include "tools/soaktest/operator_tick.h"

namespace lycheeshunt::soak {

class operator_duty
{
public:
    operator_duty(std::vector<base::endpoint> controls, operator_model model, event_sink sink);

    // Waits for the request under way.
    void stop() { m_duty.stop(); }
    // Call it after stop().
    const std::vector<std::uint64_t> &accepted() const { return m_model.accepted(); }

private:
    void makeCall(base::clock_time now);

    const std::vector<base::endpoint> m_controls;
    operator_model m_model;
    const event_sink m_sink;
    base::duty<operator_tick> m_duty;
};

} // namespace lycheeshunt::soak
