#pragma once

#include <string>

namespace lycheeshunt::soak {

struct http_request
{
    std::string method;
    std::string path;
    std::string body = {};
    // The client closes the connection once the request is sent, so the response is lost.
    bool losesResponse = false;

    bool operator==(const http_request &) const = default;
};

} // namespace lycheeshunt::soak
