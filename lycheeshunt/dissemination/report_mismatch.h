#pragma once

#include "lycheeshunt/base/identifiers.h"

namespace lycheeshunt::dissemination {

// The view at this generation does not have the digest that control sent.
struct report_mismatch
{
    const base::generation at;

    bool operator==(const report_mismatch &) const = default;
};

} // namespace lycheeshunt::dissemination
