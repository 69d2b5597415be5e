// Formats metrics in the text exposition format that scrapers read.
//
//     # HELP lycheeshunt_flows_owned Flows that this agent owns.
//     # TYPE lycheeshunt_flows_owned gauge
//     lycheeshunt_flows_owned 12

#pragma once

#include <map>
#include <string>

namespace lycheeshunt::metrics {

struct report;

// Formats the latest report of each duty; the keys are the names of the duties. Samples of one
// metric are grouped below one pair of HELP and TYPE lines, even when several duties report them.
std::string expositionText(const std::map<std::string, report> &reports);

} // namespace lycheeshunt::metrics
