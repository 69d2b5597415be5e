#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::http {

// An HTTP request that has come whole, within the listener's bounds.
struct http_call
{
    const base::request_id request;
    const std::string method;
    const std::string path;
    const std::string body = {};
    // What follows the question mark of the request's address.
    const std::string query = {};
    // The Authorization header.
    const std::string authorization = {};

    bool operator==(const http_call &) const = default;
};

} // namespace lycheeshunt::http
