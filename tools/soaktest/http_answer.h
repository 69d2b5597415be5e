#pragma once

#include <string>

namespace lycheeshunt::soak {

struct http_answer
{
    int status = 0;
    std::string body = {};

    bool operator==(const http_answer &) const = default;
};

} // namespace lycheeshunt::soak
