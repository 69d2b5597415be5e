#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::http {

// An HTTP request that was received completely and is within the listener's limits.
struct http_call
{
    const base::request_id request;
    const std::string method;
    const std::string path;
    const std::string body = {};
    // The part of the request's URI after the question mark.
    const std::string query = {};
    // The value of the Authorization header, or empty.
    const std::string authorization = {};
    // Reads of the connection that the body took after the header.
    const std::size_t bodyReads = 0;

    bool operator==(const http_call &) const = default;
};

} // namespace lycheeshunt::http
