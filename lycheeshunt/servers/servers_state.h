#pragma once

#include "lycheeshunt/servers/server_announcement.h"
#include "lycheeshunt/servers/server_standing.h"

#include <memory>

namespace lycheeshunt::servers {

// What one agent knows of its backend server.
struct servers_state
{
    // Null before the first announcement.
    std::shared_ptr<const server_announcement> current;
    base::clock_time lastHeard;
    // Draining, left, or silent for too long.
    bool isOver = false;
    bool isStopping = false;
    // It has said that it ends.
    bool hasLeft = false;
    bool isOlder = false;
    // What is told comes from the view; the server has not spoken yet.
    bool isRecalled = false;
    base::clock_time recalledAt;
    base::incarnation incarnation;
    // What was last told, to tell changes only.
    std::shared_ptr<const server_standing> told;
};

} // namespace lycheeshunt::servers
