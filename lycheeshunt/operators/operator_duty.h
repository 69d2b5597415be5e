// The operator thread of a control process.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/operators/operator_message.h"
#include "lycheeshunt/operators/operator_state.h"

namespace lycheeshunt::operators {

class operator_duty
{
public:
    // Called on the operator thread for every action.
    using action_sink = std::function<void(const operator_action &)>;

    // The token is empty where none is needed.
    operator_duty(std::string token, action_sink sink);

    base::ring<operator_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const operator_message &message, base::clock_time now);

    operator_state m_state;
    const action_sink m_sink;
    base::duty<operator_message> m_duty;
};

} // namespace lycheeshunt::operators
