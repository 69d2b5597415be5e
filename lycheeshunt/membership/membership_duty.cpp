#include "lycheeshunt/membership/membership_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/membership/decision.h"

namespace lycheeshunt::membership {

namespace {
constexpr std::size_t inboxCapacity = 4096;
// Also the period for which changes are collected into one batch.
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(100);
} // namespace

membership_duty::membership_duty(action_sink sink)
    : m_sink(std::move(sink)), m_duty(inboxCapacity, tickInterval, membership_tick {},
                                      [this](const membership_message &message,
                                             base::clock_time now) { handle(message, now); })
{
}

void membership_duty::handle(const membership_message &message, base::clock_time now)
{
    base::step<membership_state, membership_action> next = decide(std::move(m_state), message, now);
    m_state = std::move(next.state);
    base::reportFault("membership", next.fault);
    for (const membership_action &action : next.actions)
        m_sink(action);
}

} // namespace lycheeshunt::membership
