// What a run of the model is given: sizes, demand and faults. The same scenario gives every policy
// the same arrivals.

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
    // Demand as a share of capacity, before and during the crest.
    const double load = 0.7;
    const double crestLoad = 0.7;
    // Feeds opened a second for each server, each open for a minute in the mean.
    const double feedRate = 0;
    const bool drains = false;
    // Resends, cancellations and the loss of an agent.
    const bool callerFaults = false;
    // Share of load reports lost, and whether the reports of server 0 pause now and then.
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

// Demand at an instant: the crest climbs within 2 s, lasts 10 s and falls within 2 s, in the middle
// of every 40 s.
double demandAt(const scenario &given, std::int64_t now);

std::vector<work_item> arrivalsOf(const scenario &given);

// The server that is draining at an instant, or the number of servers when none is.
std::size_t drainingAt(const scenario &given, std::int64_t now);

} // namespace lycheeshunt::crest
