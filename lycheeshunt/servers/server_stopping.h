#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::servers {

// A backend server announces that it is about to exit.
struct server_stopping
{
    const base::request_id request;
    const std::string identity;

    bool operator==(const server_stopping &) const = default;
};

} // namespace lycheeshunt::servers
