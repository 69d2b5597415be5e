#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::servers {

// Tell the backend server that what it said has taken effect.
struct confirm_announcement
{
    const base::request_id request;

    bool operator==(const confirm_announcement &) const = default;
};

} // namespace lycheeshunt::servers
