#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/health/outcome_window.h"
#include "lycheeshunt/health/report_streak.h"
#include "lycheeshunt/membership/member_health.h"

namespace lycheeshunt::health {

// What an agent believes of its backend server, and why.
struct health_state
{
    const membership::member_health verdict = membership::member_health::good;
    const base::clock_time since = {};
    const report_streak reported = {};
    const outcome_window seen = {};

    bool operator==(const health_state &) const = default;
};

} // namespace lycheeshunt::health
