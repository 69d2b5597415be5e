#pragma once

namespace lycheeshunt::servers {

// The agent's process is about to exit; its backend server keeps running.
struct agent_stopping
{
    bool operator==(const agent_stopping &) const = default;
};

} // namespace lycheeshunt::servers
