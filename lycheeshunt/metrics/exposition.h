// The text exposition format that scrapers of metrics read.
//
//     # HELP lycheeshunt_flows_owned Flows that this agent owns.
//     # TYPE lycheeshunt_flows_owned gauge
//     lycheeshunt_flows_owned 12

#pragma once

#include <map>
#include <string>

namespace lycheeshunt::metrics {

struct report;

// The latest report of each duty, in the order of their names. Samples of one metric stand
// together under one heading, whichever duty they come from.
std::string expositionText(const std::map<std::string, report> &reports);

} // namespace lycheeshunt::metrics
