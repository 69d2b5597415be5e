#include "lycheeshunt/evacuations/evacuation_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/evacuations/decision.h"

#include <algorithm>

namespace lycheeshunt::evacuations {

namespace {

constexpr std::size_t inboxCapacity = 1024;

// A zone's name without what would break up a log line.
std::string printable(const std::string &zone)
{
    std::string text = zone;
    std::replace_if(
        text.begin(), text.end(),
        [](char letter) { return letter <= ' ' || letter > '~' || letter == '"'; }, '?');
    return text;
}

// The request that a committed order answers; "none" on a VM where it did not arrive.
std::string answeredRequest(const std::vector<evacuation_action> &actions)
{
    for (const evacuation_action &action : actions) {
        if (const order_answer *answer = std::get_if<order_answer>(&action))
            return std::to_string(answer->request.value());
    }
    return "none";
}

void logOrder(const order_committed &committed, const std::vector<evacuation_action> &actions)
{
    base::logEvent("evacuations", "ordered",
                   {{"zone", printable(committed.order.zone)},
                    {"evacuated", committed.order.isEvacuated ? "yes" : "no"},
                    {"generation", std::to_string(committed.at.value())},
                    {"request", answeredRequest(actions)}});
}

} // namespace

evacuation_duty::evacuation_duty(action_sink sink)
    : m_sink(std::move(sink)),
      m_duty(inboxCapacity,
             [this](const evacuation_message &message, base::clock_time) { handle(message); })
{
}

metrics::sample evacuation_duty::evacuatedZones() const
{
    return metrics::sample {"evacuated_zones", "Availability zones that are evacuated.",
                            metrics::gauge_value {static_cast<double>(m_evacuated)}};
}

void evacuation_duty::handle(const evacuation_message &message)
{
    base::step<evacuations_state, evacuation_action> next = decide(std::move(m_state), message);
    m_state = std::move(next.state);
    m_evacuated = m_state.evacuated.size();
    base::reportFault("evacuations", next.fault);
    if (const order_committed *committed = std::get_if<order_committed>(&message))
        logOrder(*committed, next.actions);
    for (const evacuation_action &action : next.actions) {
        if (!m_sink(action))
            rejectUndelivered(action);
    }
}

void evacuation_duty::rejectUndelivered(const evacuation_action &action)
{
    const base::error busy {base::error_code::tooBusy, "replication"};
    if (const propose_order *proposed = std::get_if<propose_order>(&action))
        handle(proposal_rejected {proposed->token, busy});
    else if (const confirm_read *read = std::get_if<confirm_read>(&action))
        handle(read_outcome {read->request, busy});
}

} // namespace lycheeshunt::evacuations
