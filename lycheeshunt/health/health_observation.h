#pragma once

#include "lycheeshunt/health/health_report.h"
#include "lycheeshunt/health/observed_outcomes.h"

#include <variant>

namespace lycheeshunt::health {

using health_observation = std::variant<health_report, observed_outcomes>;

} // namespace lycheeshunt::health
