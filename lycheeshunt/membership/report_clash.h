#pragma once

#include "lycheeshunt/membership/member.h"

namespace lycheeshunt::membership {

// Warn people: two processes claim what only one can have. The loser's announcement is ignored.
struct report_clash
{
    const member winner;
    const member loser;

    bool operator==(const report_clash &) const = default;
};

} // namespace lycheeshunt::membership
