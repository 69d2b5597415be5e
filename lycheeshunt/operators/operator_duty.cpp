#include "lycheeshunt/operators/operator_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/operators/decision.h"

namespace lycheeshunt::operators {

namespace {
constexpr std::size_t inboxCapacity = 256;
}

operator_duty::operator_duty(std::string token, action_sink sink)
    : m_state {std::move(token), {}}, m_sink(std::move(sink)),
      m_duty(inboxCapacity, [this](const operator_message &message, base::clock_time now) {
          handle(message, now);
      })
{
}

void operator_duty::handle(const operator_message &message, base::clock_time /*now*/)
{
    base::step<operator_state, operator_action> next = decide(std::move(m_state), message);
    m_state = std::move(next.state);
    base::reportFault("operators", next.fault);
    for (const operator_action &action : next.actions)
        m_sink(action);
}

} // namespace lycheeshunt::operators
