#pragma once

namespace lycheeshunt::servers {

// This process is about to end, and the backend server is not.
struct agent_stopping
{
    bool operator==(const agent_stopping &) const = default;
};

} // namespace lycheeshunt::servers
