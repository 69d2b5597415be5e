#include "lycheeshunt/dissemination/publisher_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/dissemination/decision.h"

namespace lycheeshunt::dissemination {

namespace {
constexpr std::size_t inboxCapacity = 4096;
// Changes within one interval are sent to the nodes as one delta.
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(50);
} // namespace

publisher_duty::publisher_duty(action_sink sink)
    : m_sink(std::move(sink)), m_duty(inboxCapacity, tickInterval, publisher_tick {},
                                      [this](const dissemination_message &message,
                                             base::clock_time now) { handle(message, now); })
{
}

void publisher_duty::handle(const dissemination_message &message, base::clock_time now)
{
    base::step<publisher_state, dissemination_action> next
        = decide(std::move(m_state), message, now);
    m_state = std::move(next.state);
    base::reportFault("dissemination", next.fault);
    for (const dissemination_action &action : next.actions)
        m_sink(action);
}

} // namespace lycheeshunt::dissemination
