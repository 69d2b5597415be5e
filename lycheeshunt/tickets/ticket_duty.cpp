#include "lycheeshunt/tickets/ticket_duty.h"

#include "lycheeshunt/tickets/decision.h"

namespace lycheeshunt::tickets {

namespace {
constexpr std::size_t inboxCapacity = 1024;
}

ticket_duty::ticket_duty(action_sink sink)
    : m_sink(std::move(sink)),
      m_duty(inboxCapacity,
             [this](const ticket_message &message, base::clock_time now) { handle(message, now); })
{
}

void ticket_duty::handle(const ticket_message &message, base::clock_time /*now*/)
{
    base::step<ticket_state, ticket_action> next = decide(std::move(m_state), message);
    m_state = std::move(next.state);
    for (const ticket_action &action : next.actions) {
        const propose_ticket *proposed = std::get_if<propose_ticket>(&action);
        if (!m_sink(action) && proposed != nullptr)
            withdraw(proposed->ticket.number);
    }
}

void ticket_duty::withdraw(base::ticket_number number)
{
    const auto pending = m_state.pending.find(number);
    for (const base::request_id &request : pending->second.waiting)
        m_sink(ticket_answer {request, ticket_refusal {{{base::error_code::tooBusy, ""}}}});
    m_state.pending.erase(pending);
}

} // namespace lycheeshunt::tickets
