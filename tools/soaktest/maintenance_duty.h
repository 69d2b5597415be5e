// The thread of the operator who evacuates zones and drains agents. An order is sent until it is
// accepted, also after a lost response, and the next one waits until all VMs have it.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "tools/soaktest/event_sink.h"
#include "tools/soaktest/http_answer.h"
#include "tools/soaktest/http_request.h"
#include "tools/soaktest/maintenance_order.h"

#include <atomic>
#include <optional>
#include <random>

namespace lycheeshunt::soak {

class maintenance_duty
{
public:
    maintenance_duty(std::vector<base::endpoint> controls, std::uint64_t seed, event_sink sink);

    void push(const maintenance_order &order);
    // All orders are carried out, or were given up and reported.
    bool isIdle() const { return m_waiting == 0; }

private:
    void carryOut(const zone_order &order);
    void carryOut(const drain_order &order);
    // Submits a ticket with this change and waits until every VM has it.
    bool bringIntoForce(const std::string &change);
    std::optional<http_answer> untilAccepted(const http_request &request,
                                             base::clock_time deadline);

    const std::vector<base::endpoint> m_controls;
    std::mt19937_64 m_random;
    const event_sink m_sink;
    std::uint64_t m_number;
    std::atomic<int> m_waiting = 0;
    base::duty<maintenance_order> m_duty;
};

} // namespace lycheeshunt::soak
