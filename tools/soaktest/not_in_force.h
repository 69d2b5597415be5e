// A ticket is not in force everywhere although all processes run again.

#pragma once

#include <string>

namespace lycheeshunt::soak {

struct not_in_force
{
    std::uint64_t number = 0;
    std::string behind;

    bool operator==(const not_in_force &) const = default;
};

} // namespace lycheeshunt::soak
