// The ticket thread of a control process.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/tickets/ticket_message.h"
#include "lycheeshunt/tickets/ticket_state.h"

namespace lycheeshunt::tickets {

class ticket_duty
{
public:
    // Called on the ticket thread for every action. Returns false when a proposal or a
    // read can't be queued now; the requests that wait for it then fail with tooBusy.
    using action_sink = std::function<bool(const ticket_action &)>;

    explicit ticket_duty(action_sink sink);

    base::ring<ticket_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const ticket_message &message);
    // Rejects the requests behind an action that could not be queued.
    void rejectUndelivered(const ticket_action &action);

    ticket_state m_state;
    const action_sink m_sink;
    base::duty<ticket_message> m_duty;
};

} // namespace lycheeshunt::tickets
