#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::operators {

// An operator's HTTP request, already within its bounds.
struct http_arrived
{
    const base::request_id request;
    const std::string method;
    const std::string path;
    const std::string body = {};
    // What follows the question mark of the request's address.
    const std::string query = {};
    // The Authorization header.
    const std::string authorization = {};

    bool operator==(const http_arrived &) const = default;
};

} // namespace lycheeshunt::operators
