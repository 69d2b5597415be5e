#pragma once

#include "lycheeshunt/base/error_code.h"

#include <string>

namespace lycheeshunt::replication {

// Storage failed: neither votes, acknowledges nor accepts until the process starts again.
struct failed_role
{
    base::error_code code = base::error_code::storageFailed;
    std::string detail;

    bool operator==(const failed_role &) const = default;
};

} // namespace lycheeshunt::replication
