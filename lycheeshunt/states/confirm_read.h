#pragma once

#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::states {

// Find out whether this VM is current.
struct confirm_read
{
    const base::request_id request;

    bool operator==(const confirm_read &) const = default;
};

} // namespace lycheeshunt::states
