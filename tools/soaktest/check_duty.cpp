#include "tools/soaktest/check_duty.h"

#include "tools/soaktest/checks.h"

#include <iostream>

namespace lycheeshunt::soak {

namespace {

// More than all stand-ins observe in one second.
constexpr std::size_t ringCapacity = 16'384;
// A broken promise can be broken thousands of times; the first ones tell what happened.
constexpr std::size_t maxViolations = 200;

} // namespace

check_duty::check_duty(std::shared_ptr<const topology> deployment)
    : m_state {std::move(deployment)},
      m_duty(ringCapacity, [this](const observed_event &event, base::clock_time) {
          check_step step = decide(std::move(m_state), event);
          m_state = std::move(step.state);
          if (step.fault)
              step.actions.push_back({event.at, "soak_error", step.fault->text()});
          for (const violation &found : step.actions) {
              std::cout << "violation: " << found.check << ": " << found.details << std::endl;
              if (m_violations.size() < maxViolations)
                  m_violations.push_back(found);
          }
      })
{
}

void check_duty::push(const observation &seen)
{
    m_duty.inbox().push({base::clock_time::steady(), seen});
}

std::vector<violation> check_duty::finish()
{
    constexpr std::chrono::milliseconds drainPoll(10);
    while (m_duty.inbox().depth() > 0)
        std::this_thread::sleep_for(drainPoll);
    m_duty.stop();
    return m_violations;
}

} // namespace lycheeshunt::soak
