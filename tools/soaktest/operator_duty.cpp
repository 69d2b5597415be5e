#include "tools/soaktest/operator_duty.h"

#include "tools/soaktest/http_client.h"

namespace lycheeshunt::soak {

namespace {

constexpr base::clock_time callInterval = base::clock_time::ofMillis(100);
// Above the 1,000 ms within which an operator is answered in quiet periods.
constexpr base::clock_time requestTimeout = base::clock_time::ofMillis(2000);

} // namespace

operator_duty::operator_duty(std::vector<base::endpoint> controls, operator_model model,
                             event_sink sink)
    : m_controls(std::move(controls)), m_model(std::move(model)), m_sink(std::move(sink)),
      m_duty(1, callInterval, operator_tick {},
             [this](const operator_tick &, base::clock_time now) { makeCall(now); })
{
}

void operator_duty::makeCall(base::clock_time now)
{
    const operator_call next = m_model.nextCall(now);
    const std::optional<http_answer> answer
        = call(m_controls[next.control], next.request, requestTimeout);
    for (const observation &seen : m_model.handle(next, answer))
        m_sink(seen);
}

} // namespace lycheeshunt::soak
