#pragma once

#include <string>

namespace lycheeshunt::base {

// One input or outcome of a decision, written as name=value in a log line.
struct log_field
{
    const std::string name;
    const std::string value;

    bool operator==(const log_field &) const = default;
};

} // namespace lycheeshunt::base
