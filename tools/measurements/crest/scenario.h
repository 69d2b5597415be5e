// Parameters of a simulation run: cluster size, demand and faults. All policies get the same
// arrivals for the same scenario.

#pragma once

#include "lycheeshunt/placement/placement_rules.h"
#include "lycheeshunt/tickets/service_limits.h"
#include "work_item.h"

#include <vector>

namespace lycheeshunt::crest {

struct scenario
{
    const std::size_t servers = 7;
    const std::int64_t duration = 600'000;
    // Demand as a share of capacity, outside and at the peak.
    const double load = 0.7;
    const double peakLoad = 0.7;
    // Feeds (long-lived flows) opened per second and server; each stays open for a minute on
    // average.
    const double feedRate = 0;
    const bool drains = false;
    // Callers resend and cancel requests, and one agent fails.
    const bool callerFaults = false;
    // Share of load reports lost, and whether the reports of servers 0 to 2 pause for 3 s in every
    // 8 s.
    const double reportLoss = 0;
    const bool reportPauses = false;
    const std::uint32_t seed = 1;
    const tickets::service_limits limits = {};
    const placement::placement_rules rules = {};
};

constexpr double shortMeanMillis = 100;
constexpr double longShare = 0.02;
constexpr double longFactor = 50;
constexpr double meanMillis = shortMeanMillis * (1 - longShare + longShare * longFactor);
constexpr std::int64_t hopMillis = 1;

// Demand at a time, as a share of capacity. In the middle of every 40 s it rises to the peak within
// 2 s, stays there for 10 s and falls within 2 s.
double demandAt(const scenario &parameters, std::int64_t now);

std::vector<work_item> arrivalsOf(const scenario &parameters);

// Index of the server that is draining at a time, or the number of servers when none is.
std::size_t drainingAt(const scenario &parameters, std::int64_t now);

} // namespace lycheeshunt::crest
