#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// Warn operators that two processes claim the same name or packet address. The loser's
// announcement is ignored.
struct report_conflict
{
    const member winner;
    const member loser;

    bool operator==(const report_conflict &) const = default;
};

} // namespace lycheeshunt::membership
