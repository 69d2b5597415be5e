// The thread of an agent that processes its backend server's announcements.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/servers/server_message.h"
#include "lycheeshunt/servers/servers_state.h"

namespace lycheeshunt::servers {

class server_duty
{
public:
    // Called on the duty's thread for every action.
    using action_sink = std::function<void(const server_action &)>;

    // Only announcements of this service count.
    server_duty(std::string service, base::incarnation incarnation, action_sink sink);

    base::ring<server_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }

private:
    void handle(const server_message &message, base::clock_time now);

    servers_state m_state;
    const action_sink m_sink;
    base::duty<server_message> m_duty;
};

} // namespace lycheeshunt::servers
