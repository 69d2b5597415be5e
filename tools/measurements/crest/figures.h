// Computes figures from the outcomes of a run and prints them.

#pragma once

#include "run_result.h"
#include "scenario.h"

#include <optional>
#include <string>

namespace lycheeshunt::crest {

// Mean and 99th percentile of the queueing time of short requests that were run, in units of the
// mean short service time, and the share of short requests that were not run: refused, or past
// their deadline before a slot was free.
struct wait_figures
{
    double mean = 0;
    double p99 = 0;
    double notRunShare = 0;
};

wait_figures shortWorkWaits(const run_result &result);

// Requests answered before their deadline, relative to those that a fluid server with the total
// capacity answers. Its backlog is limited to the 2 s that a deadline allows for waiting.
double answeredInTimeShare(const scenario &parameters, const run_result &result);

// 99th percentile of the milliseconds from arrival to refusal, without the requests that the caller
// resent or cancelled.
double refusalDelayMillis(const run_result &result);

std::uint64_t countRunTwice(const run_result &result);
std::uint64_t wronglyReportedNotRun(const run_result &result);
double meanOffers(const run_result &result);

struct figure
{
    const std::string name;
    const double value = 0;
    const std::string unit;
    const std::optional<double> bound = {};
    const std::string baseline = {};
};

// Prints the figure as a JSON object on a line of its own.
void print(const figure &line);

} // namespace lycheeshunt::crest
