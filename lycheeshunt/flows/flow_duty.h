// The flow thread of an agent: reads messages from its ring, decides on them, logs and counts
// events, and hands the other actions to a callback.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/flows/agent_identity.h"
#include "lycheeshunt/flows/flow_action.h"
#include "lycheeshunt/flows/flow_message.h"
#include "lycheeshunt/flows/flow_meter.h"
#include "lycheeshunt/flows/flow_state.h"

namespace lycheeshunt::flows {

class flow_duty
{
public:
    // Called on the flow thread for every action.
    using action_sink = std::function<void(const flow_action &)>;

    flow_duty(const agent_identity &identity, action_sink sink);

    base::ring<flow_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }
    const flow_meter &meter() const { return m_meter; }

private:
    void handle(const flow_message &message, base::clock_time now);

    flow_state m_state;
    const action_sink m_sink;
    flow_meter m_meter;
    base::duty<flow_message> m_duty;
};

} // namespace lycheeshunt::flows
