#include "lycheeshunt/flows/flow_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/flows/decision.h"
#include "lycheeshunt/flows/event_log.h"

namespace lycheeshunt::flows {

namespace {
constexpr std::size_t inboxCapacity = 8192;
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(100);
} // namespace

flow_duty::flow_duty(const agent_identity &identity, action_sink sink)
    : m_state(identity), m_sink(std::move(sink)),
      m_duty(inboxCapacity, tickInterval, tick {},
             [this](const flow_message &message, base::clock_time now) { handle(message, now); })
{
}

void flow_duty::handle(const flow_message &message, base::clock_time now)
{
    base::step<flow_state, flow_action> next = decide(std::move(m_state), message, now);
    m_state = std::move(next.state);
    base::reportFault("flows", next.fault);
    m_meter.setTransfers(m_state.transfers);
    for (const flow_action &action : next.actions) {
        if (const flow_event *event = std::get_if<flow_event>(&action)) {
            m_meter.record(*event);
            logFlowEvent(*event);
        } else if (const request_timing *timing = std::get_if<request_timing>(&action)) {
            m_meter.record(*timing);
        } else {
            m_sink(action);
        }
    }
}

} // namespace lycheeshunt::flows
