#pragma once

#include "lycheeshunt/servers/server_announcement.h"
#include "lycheeshunt/servers/server_status.h"

#include <memory>

namespace lycheeshunt::servers {

// What one agent knows of its backend server.
struct servers_state
{
    // Null before the first announcement.
    std::shared_ptr<const server_announcement> current;
    base::clock_time heardAt;
    // Draining, left, or silent for too long.
    bool isOver = false;
    bool isAgentStopping = false;
    // It has said that it ends.
    bool isServerStopping = false;
    bool startedBeforeAgent = false;
    // What is told comes from the view; the server has not spoken yet.
    bool isRecalled = false;
    base::clock_time recalledAt;
    base::incarnation life;
    // What was last told, to tell changes only.
    std::shared_ptr<const server_status> told;
};

} // namespace lycheeshunt::servers
