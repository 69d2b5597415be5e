#pragma once

namespace lycheeshunt::admission {

// The backend server restarted and is cold; the work that was running on it is lost.
struct server_restarted
{
    bool operator==(const server_restarted &) const = default;
};

} // namespace lycheeshunt::admission
