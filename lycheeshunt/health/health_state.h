#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/health/outcome_window.h"
#include "lycheeshunt/health/report_streak.h"
#include "lycheeshunt/membership/member_health.h"

namespace lycheeshunt::health {

// The health verdict of an agent on its backend server, and the evidence behind it.
struct health_state
{
    const membership::member_health verdict = membership::member_health::good;
    const base::clock_time verdictSince = {};
    const report_streak reports = {};
    const outcome_window observed = {};

    bool operator==(const health_state &) const = default;
};

} // namespace lycheeshunt::health
