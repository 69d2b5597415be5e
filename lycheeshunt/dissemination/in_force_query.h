#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/base/request_id.h"

namespace lycheeshunt::dissemination {

// An operator queries which nodes have not reached a generation. The answer may be delayed by up to
// `wait` until all have.
struct in_force_query
{
    const base::request_id request;
    const base::generation at;
    const base::clock_time wait = {};

    bool operator==(const in_force_query &) const = default;
};

} // namespace lycheeshunt::dissemination
