#pragma once

#include "lycheeshunt/base/request_id.h"

#include <string>

namespace lycheeshunt::operators {

// The answer to one HTTP request; the body is JSON.
struct http_reply
{
    const base::request_id request;
    const int status = 0;
    const std::string body;

    bool operator==(const http_reply &) const = default;
};

} // namespace lycheeshunt::operators
