// The membership thread of a control process.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/membership/membership_message.h"
#include "lycheeshunt/membership/membership_state.h"

namespace lycheeshunt::membership {

class membership_duty
{
public:
    // Called on the membership thread for every action.
    using action_sink = std::function<void(const membership_action &)>;

    explicit membership_duty(action_sink sink);

    base::ring<membership_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const membership_message &message, base::clock_time now);

    membership_state m_state;
    const action_sink m_sink;
    base::duty<membership_message> m_duty;
};

} // namespace lycheeshunt::membership
