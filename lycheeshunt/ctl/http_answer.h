#pragma once

#include <string>

namespace lycheeshunt::ctl {

struct http_answer
{
    const int status;
    const std::string body;

    bool isOk() const
    {
        constexpr int ok = 200;
        return status == ok;
    }

    bool operator==(const http_answer &) const = default;
};

} // namespace lycheeshunt::ctl
