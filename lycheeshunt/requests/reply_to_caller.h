#pragma once

#include "lycheeshunt/requests/reply_handle.h"
#include "lycheeshunt/requests/request_outcome.h"

namespace lycheeshunt::requests {

// Sends the caller the outcome of one arrival of a request.
struct reply_to_caller
{
    const reply_handle reply;
    const request_outcome outcome;

    bool operator==(const reply_to_caller &) const = default;
};

} // namespace lycheeshunt::requests
