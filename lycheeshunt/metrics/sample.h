#pragma once

#include "lycheeshunt/metrics/counter_value.h"
#include "lycheeshunt/metrics/gauge_value.h"
#include "lycheeshunt/metrics/histogram_value.h"
#include "lycheeshunt/metrics/label.h"

#include <string>
#include <variant>
#include <vector>

namespace lycheeshunt::metrics {

using sample_value = std::variant<counter_value, gauge_value, histogram_value>;

// The value of one metric of one duty at one point in time. The name includes its unit, as in
// `queue_wait_ms`.
struct sample
{
    const std::string name;
    const std::string help;
    const sample_value value;
    const std::vector<label> labels = {};

    bool operator==(const sample &) const = default;
};

} // namespace lycheeshunt::metrics
