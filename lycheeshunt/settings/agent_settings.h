#pragma once

#include "lycheeshunt/flows/agent_sockets.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeshunt::settings {

// Settings of an agent besides the common ones.
struct agent_settings
{
    const std::string service;
    const flows::agent_sockets sockets;
    // Listen address for the backend server's announcements (HTTP). Without it the server is
    // assumed to run as long as the agent does.
    const std::optional<base::endpoint> announcements = {};
    // Listen address for readiness queries (HTTP).
    const std::optional<base::endpoint> readiness = {};
    // Opening packets that a server that warms up gets beyond the rate of its service. Without it
    // such a server is not limited.
    const std::optional<std::uint32_t> warmupSlack = {};
    // Whether load reports contain the time that the backend server takes for a request, so that
    // faster servers get more of the new flows.
    const bool reportsSpeed = false;
    // Whether load reports say that the server fails most requests.
    const bool reportsFailures = false;

    bool operator==(const agent_settings &) const = default;
};

} // namespace lycheeshunt::settings
