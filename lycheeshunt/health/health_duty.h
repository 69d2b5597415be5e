// The thread of an agent that monitors the health of its backend server: polls the endpoints once a
// second, receives observed outcomes through its ring, and publishes each change of the verdict.
//
//     health_duty health(server, [&](membership::member_health verdict) { ... });
//     health.inbox().tryPush(observed_outcomes {answered, failed});

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/health/endpoint_poller.h"
#include "lycheeshunt/health/health_state.h"
#include "lycheeshunt/health/health_tick.h"
#include "lycheeshunt/health/observed_outcomes.h"

#include <variant>

namespace lycheeshunt::health {

using health_message = std::variant<observed_outcomes, health_tick>;

class health_duty
{
public:
    // Called on the health thread.
    using verdict_sink = std::function<void(membership::member_health)>;

    health_duty(const base::endpoint &server, verdict_sink sink);

    base::ring<health_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const health_message &message, base::clock_time now);

    endpoint_poller m_poller;
    const verdict_sink m_sink;
    std::unique_ptr<const health_state> m_state;
    base::duty<health_message> m_duty;
};

} // namespace lycheeshunt::health
