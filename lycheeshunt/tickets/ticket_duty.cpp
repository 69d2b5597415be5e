#include "lycheeshunt/tickets/ticket_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/tickets/decision.h"

namespace lycheeshunt::tickets {

namespace {
constexpr std::size_t inboxCapacity = 1024;
}

ticket_duty::ticket_duty(action_sink sink)
    : m_sink(std::move(sink)),
      m_duty(inboxCapacity,
             [this](const ticket_message &message, base::clock_time) { handle(message); })
{
}

void ticket_duty::handle(const ticket_message &message)
{
    base::step<ticket_state, ticket_action> next = decide(std::move(m_state), message);
    m_state = std::move(next.state);
    base::reportFault("tickets", next.fault);
    for (const ticket_action &action : next.actions) {
        if (!m_sink(action))
            rejectUndelivered(action);
    }
}

void ticket_duty::rejectUndelivered(const ticket_action &action)
{
    const base::error busy {base::error_code::tooBusy, "replication"};
    if (const propose_ticket *proposed = std::get_if<propose_ticket>(&action))
        handle(proposal_rejected {proposed->token, busy});
    else if (const confirm_read *read = std::get_if<confirm_read>(&action))
        handle(read_outcome {read->request, busy});
}

} // namespace lycheeshunt::tickets
