#pragma once

namespace lycheeshunt::admission {

// The backend server has restarted and is cold; what ran there is lost.
struct server_restarted
{
    bool operator==(const server_restarted &) const = default;
};

} // namespace lycheeshunt::admission
