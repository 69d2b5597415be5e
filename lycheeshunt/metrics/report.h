#pragma once

#include "lycheeshunt/metrics/sample.h"

#include <string>
#include <vector>

namespace lycheeshunt::metrics {

// All metrics of one duty at one moment; replaces the duty's report before.
struct report
{
    const std::string duty;
    const std::vector<sample> samples = {};

    bool operator==(const report &) const = default;
};

} // namespace lycheeshunt::metrics
