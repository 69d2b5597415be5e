#pragma once

#include "lycheeshunt/flows/agent_sockets.h"

#include <optional>
#include <string>

namespace lycheeshunt::settings {

// What an agent needs besides the common settings.
struct agent_settings
{
    const std::string service;
    const flows::agent_sockets sockets;
    // Bound here: the backend server's announcements (HTTP). Without it the server is taken to be
    // there as long as the agent is.
    const std::optional<base::endpoint> announcements = {};
    // Bound here: whether the agent is ready (HTTP).
    const std::optional<base::endpoint> readiness = {};

    bool operator==(const agent_settings &) const = default;
};

} // namespace lycheeshunt::settings
