// Not all members serve although all processes run and no zone or agent is out of service.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct member_missing
{
    std::string status;

    bool operator==(const member_missing &) const = default;
};

} // namespace lycheeshunt::soak
