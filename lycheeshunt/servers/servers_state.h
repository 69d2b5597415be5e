#pragma once

#include "lycheeshunt/servers/server_announcement.h"
#include "lycheeshunt/servers/server_status.h"

#include <memory>
#include <string>

namespace lycheeshunt::servers {

// The state of one agent's backend server.
struct servers_state
{
    // The service in the agent's settings. Announcements of other services are rejected.
    std::string service;
    // Null before the first announcement.
    std::shared_ptr<const server_announcement> current;
    base::clock_time lastHeard;
    // Draining, stopping, or silent for longer than the timeout.
    bool isUnavailable = false;
    bool isAgentStopping = false;
    // The server has announced that it is about to exit.
    bool isServerStopping = false;
    bool startedBeforeAgent = false;
    // The published status comes from the view; the server has not announced itself yet.
    bool isRestored = false;
    base::clock_time restoredAt;
    base::incarnation incarnation;
    // Starts of the server that announcements have shown. A server that was only silent has not
    // started again.
    std::uint64_t starts = 0;
    // End of the warm-up by the last announcement; 0 when the server is warm.
    base::clock_time coldUntil;
    // The status published last; only changes are published.
    std::shared_ptr<const server_status> published;
};

} // namespace lycheeshunt::servers
