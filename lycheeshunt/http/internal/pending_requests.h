// The connections behind the pending calls.

#pragma once

#include "lycheeshunt/http/pending_calls.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace lycheeshunt::http {

struct pending_calls::implementation
{
    // Sends the answer on the connection of the request. Safe after the connection has closed.
    using reply = std::function<void(const http_answer &)>;

    // Returns the default identifier while too many requests are pending.
    base::request_id add(reply send);
    std::optional<reply> remove(base::request_id id);

    std::mutex mutex;
    std::uint64_t lastRequest = 0;
    std::map<base::request_id, reply> requests;
};

} // namespace lycheeshunt::http
