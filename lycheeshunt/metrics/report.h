#pragma once

#include "lycheeshunt/metrics/sample.h"

#include <string>
#include <vector>

namespace lycheeshunt::metrics {

// All samples of one duty at one point in time; replaces the duty's previous report.
struct report
{
    const std::string duty;
    const std::vector<sample> samples = {};

    bool operator==(const report &) const = default;
};

} // namespace lycheeshunt::metrics
