#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::dissemination {

// What this generation led to has not the digest that control names.
struct report_mismatch
{
    const base::generation at;

    bool operator==(const report_mismatch &) const = default;
};

} // namespace lycheeshunt::dissemination
