#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/servers/server_announcement.h"

namespace lycheeshunt::servers {

// A backend server has announced itself and waits for the reply.
struct server_announced
{
    const base::request_id request;
    const server_announcement announcement;

    bool operator==(const server_announced &) const = default;
};

} // namespace lycheeshunt::servers
