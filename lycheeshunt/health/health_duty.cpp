#include "lycheeshunt/health/health_duty.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/health/decision.h"

namespace lycheeshunt::health {

namespace {
constexpr std::size_t inboxCapacity = 64;
constexpr base::clock_time pollInterval = base::clock_time::ofSeconds(1);
} // namespace

health_duty::health_duty(const base::endpoint &server, verdict_sink sink)
    : m_poller(server), m_sink(std::move(sink)), m_state(std::make_unique<const health_state>()),
      m_duty(inboxCapacity, pollInterval, health_tick {},
             [this](const health_message &message, base::clock_time now) { handle(message, now); })
{
}

void health_duty::handle(const health_message &message, base::clock_time now)
{
    const health_observation observation = std::visit(
        base::overloaded {
            [](const observed_outcomes &outcomes) { return health_observation(outcomes); },
            [this](const health_tick &) { return health_observation(m_poller.poll()); },
        },
        message);
    std::unique_ptr<const health_state> next
        = std::make_unique<const health_state>(evaluate(*m_state, observation, now));
    const bool changed = next->verdict != m_state->verdict;
    m_state = std::move(next);
    if (changed)
        m_sink(m_state->verdict);
}

} // namespace lycheeshunt::health
