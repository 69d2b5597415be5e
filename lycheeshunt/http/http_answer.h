#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::http {

// The answer to one HTTP request; the body is JSON.
struct http_answer
{
    const base::request_id request;
    const int status = 0;
    const std::string body = {};
    // Where to ask instead; only with a status that redirects.
    const std::string location = {};

    bool operator==(const http_answer &) const = default;
};

} // namespace lycheeshunt::http
