#pragma once

#include "lycheeshunt/metrics/report.h"
#include "lycheeshunt/metrics/scrape_request.h"

#include <variant>

namespace lycheeshunt::metrics {

using metrics_message = std::variant<report, scrape_request>;

} // namespace lycheeshunt::metrics
