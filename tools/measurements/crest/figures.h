// Figures from what became of the work, and the lines they are printed in.

#pragma once

#include "run_result.h"
#include "scenario.h"

#include <optional>
#include <string>

namespace lycheeshunt::crest {

// Mean and 99th percentile of the wait of short work that was run, in mean short service times, and
// the share of short work that was not: refused, or past its deadline before it got a slot.
struct wait_figures
{
    double mean = 0;
    double p99 = 0;
    double notRunShare = 0;
};

wait_figures shortWaits(const run_result &result);

// Work answered in time, over what a fluid server of the whole capacity answers, whose backlog is
// bounded by the wait that the deadline leaves.
double answeredShare(const scenario &given, const run_result &result);

// 99th percentile of the milliseconds from arrival to the refusal, of undisturbed work.
double refusalMillis(const run_result &result);

std::uint64_t runTwice(const run_result &result);
std::uint64_t falselyNotRun(const run_result &result);
double offersMean(const run_result &result);

struct figure
{
    const std::string name;
    const double value = 0;
    const std::string unit;
    const std::optional<double> bound = {};
    const std::string baseline = {};
};

// One JSON object a line.
void print(const figure &line);

} // namespace lycheeshunt::crest
