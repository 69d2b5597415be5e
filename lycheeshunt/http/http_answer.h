#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::http {

// The response to an HTTP request.
struct http_answer
{
    const base::request_id request;
    const int status = 0;
    const std::string body = {};
    // The value of the Location header; set only with a redirecting status.
    const std::string location = {};
    const std::string contentType = "application/json";

    bool operator==(const http_answer &) const = default;
};

} // namespace lycheeshunt::http
