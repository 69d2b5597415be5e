#pragma once

#include "lycheeshunt/health/health_report.h"
#include "lycheeshunt/health/work_seen.h"

#include <variant>

namespace lycheeshunt::health {

using health_observation = std::variant<health_report, work_seen>;

} // namespace lycheeshunt::health
