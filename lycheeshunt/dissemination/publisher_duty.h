// The dissemination thread of a control process.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/dissemination/dissemination_message.h"
#include "lycheeshunt/dissemination/publisher_state.h"

namespace lycheeshunt::dissemination {

class publisher_duty
{
public:
    // Called on the dissemination thread for every action.
    using action_sink = std::function<void(const dissemination_action &)>;

    explicit publisher_duty(action_sink sink);

    base::ring<dissemination_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const dissemination_message &message, base::clock_time now);

    publisher_state m_state;
    const action_sink m_sink;
    base::duty<dissemination_message> m_duty;
};

} // namespace lycheeshunt::dissemination
