#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/health/health_report.h"

namespace lycheeshunt::health {

// The most recent reported health and how many polls in a row reported it.
struct report_streak
{
    const reported_health health = reported_health::good;
    const std::uint32_t length = 0;
    const base::clock_time lastReportAt = {};

    bool operator==(const report_streak &) const = default;
};

} // namespace lycheeshunt::health
