#include "tools/soaktest/maintenance_duty.h"

#include "tools/soaktest/http_client.h"
#include "tools/soaktest/operator_model.h"
#include "tools/soaktest/recovery_limit.h"

namespace lycheeshunt::soak {

namespace {

using base::clock_time;

constexpr std::size_t maxOrders = 64;
constexpr std::uint64_t firstNumber = 2'000'000;
constexpr clock_time requestTimeout = clock_time::ofMillis(2000);
constexpr std::chrono::milliseconds retryInterval(50);
constexpr int statusOk = 200;

} // namespace

maintenance_duty::maintenance_duty(std::vector<base::endpoint> controls, std::uint64_t seed,
                                   event_sink sink)
    : m_controls(std::move(controls)), m_random(seed), m_sink(std::move(sink)),
      m_number(firstNumber), m_duty(maxOrders, [this](const maintenance_order &order, clock_time) {
          std::visit([this](const auto &each) { carryOut(each); }, order);
          --m_waiting;
      })
{
}

void maintenance_duty::push(const maintenance_order &order)
{
    ++m_waiting;
    m_duty.inbox().push(order);
}

void maintenance_duty::carryOut(const zone_order &order)
{
    if (!order.isEvacuated)
        m_sink(zone_withdrawn {order.zone});
    const http_request request {order.isEvacuated ? "POST" : "DELETE",
                                "/v1/evacuations/" + order.zone};
    const bool isAccepted
        = untilAccepted(request, clock_time::steady() + recoveryLimit).has_value();
    // A VM that has this ticket has all earlier orders too.
    const bool isInForce
        = isAccepted && bringIntoForce(serviceChange("marker", "198.51.100.3:443", 1));
    if (!isInForce)
        m_sink(not_in_force {m_number, request.method + " " + request.path});
    else if (order.isEvacuated)
        m_sink(zone_in_force {order.zone});
}

void maintenance_duty::carryOut(const drain_order &order)
{
    const std::string change = R"({"drain":{"node":")" + order.agent + R"(","draining":)"
        + (order.isDraining ? "true" : "false") + "}}";
    if (!bringIntoForce(change))
        m_sink(not_in_force {m_number, change});
}

bool maintenance_duty::bringIntoForce(const std::string &change)
{
    const clock_time deadline = clock_time::steady() + recoveryLimit;
    const http_request submission {"POST", "/v1/tickets",
                                   serviceTicket(++m_number, "maintenance", change)};
    if (!untilAccepted(submission, deadline))
        return false;
    const http_request query {"GET", "/v1/tickets/" + std::to_string(m_number)};
    while (const std::optional<http_answer> answer = untilAccepted(query, deadline)) {
        // VMs that control does not reach are not waited for, but they have not got it.
        if (answer->body.find(R"("in_force":true)") != std::string::npos
            && answer->body.find(R"("unreachable_count":0)") != std::string::npos)
            return true;
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

std::optional<http_answer> maintenance_duty::untilAccepted(const http_request &request,
                                                           clock_time deadline)
{
    constexpr std::uint64_t oneIn = 4;
    while (clock_time::steady() < deadline && !m_duty.inbox().isClosed()) {
        for (const base::endpoint &control : m_controls) {
            http_request attempt = request;
            attempt.losesResponse = m_random() % oneIn == 0;
            std::optional<http_answer> answer = call(control, attempt, requestTimeout);
            if (answer && answer->status == statusOk)
                return answer;
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return std::nullopt;
}

} // namespace lycheeshunt::soak
