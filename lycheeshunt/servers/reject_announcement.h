#pragma once

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::servers {

// The announcement changed nothing; the sender gets the reason.
struct reject_announcement
{
    const base::request_id request;
    const base::error reason;

    bool operator==(const reject_announcement &) const = default;
};

} // namespace lycheeshunt::servers
