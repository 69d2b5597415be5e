#pragma once

#include "tools/soaktest/process_change.h"

#include <string>

namespace lycheeshunt::soak {

struct process_order
{
    std::string process;
    process_change change;

    bool operator==(const process_order &) const = default;
};

} // namespace lycheeshunt::soak
