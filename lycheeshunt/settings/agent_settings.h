#pragma once

#include "lycheeshunt/flows/agent_sockets.h"

#include <string>

namespace lycheeshunt::settings {

// What an agent needs besides the common settings.
struct agent_settings
{
    const std::string service;
    const flows::agent_sockets sockets;

    bool operator==(const agent_settings &) const = default;
};

} // namespace lycheeshunt::settings
