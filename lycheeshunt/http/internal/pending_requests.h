// The library's requests behind the pending calls.

#pragma once

#include "lycheeshunt/http/pending_calls.h"

#include <cpprest/http_listener.h>

#include <map>
#include <mutex>
#include <optional>

namespace lycheeshunt::http {

struct pending_calls::implementation
{
    // Returns the default identifier while too many requests are pending.
    base::request_id add(const web::http::http_request &request);
    std::optional<web::http::http_request> remove(base::request_id id);

    std::mutex mutex;
    std::uint64_t lastRequest = 0;
    std::map<base::request_id, web::http::http_request> requests;
};

} // namespace lycheeshunt::http
