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
    // question can't be taken now; those who wait for it are then told so.
    using action_sink = std::function<bool(const ticket_action &)>;

    explicit ticket_duty(action_sink sink);

    base::ring<ticket_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const ticket_message &message);
    // Lets the decision know of an action that could not be taken.
    void giveUp(const ticket_action &action);

    ticket_state m_state;
    const action_sink m_sink;
    base::duty<ticket_message> m_duty;
};

} // namespace lycheeshunt::tickets
