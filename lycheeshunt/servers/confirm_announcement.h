#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::servers {

// Replies to the backend server that its announcement has taken effect.
struct confirm_announcement
{
    const base::request_id request;

    bool operator==(const confirm_announcement &) const = default;
};

} // namespace lycheeshunt::servers
