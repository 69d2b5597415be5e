// Changes the streams of one control VM: those of nodes and of the other control VMs.

#pragma once

#include "tools/soaktest/link_fault.h"

#include <string>

namespace lycheeshunt::soak {

struct link_order
{
    std::string control;
    // Only every second connection, so that some nodes are cut off and others are not.
    bool isPartial = false;
    link_fault fault;

    bool operator==(const link_order &) const = default;
};

} // namespace lycheeshunt::soak
