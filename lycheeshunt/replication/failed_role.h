#pragma once

#include "lycheeshunt/base/error_code.h"

#include <string>

namespace lycheeshunt::replication {

// A write to storage has failed. The replica neither votes nor acknowledges entries and refuses all
// proposals and reads until its storage has been reopened.
struct failed_role
{
    base::error_code code = base::error_code::storageFailed;
    std::string detail;

    bool operator==(const failed_role &) const = default;
};

} // namespace lycheeshunt::replication
