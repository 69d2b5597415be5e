#pragma once

#include "tools/soaktest/flow_record.h"
#include "tools/soaktest/observed_event.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace lycheeshunt::soak {

struct topology;

struct check_state
{
    std::shared_ptr<const topology> deployment;
    std::map<base::flow_key, flow_record> flows = {};
    // By number; with the time at which the operator had the answer.
    std::map<std::uint64_t, observed_event> accepted = {};
    // Agents that got SIGTERM and have not been started again.
    std::set<std::string> ending = {};
    // Evacuated zones, with the time since which every VM has the order.
    std::map<std::string, base::clock_time> evacuated = {};
    // The last kill or pause; empty while there was planned work only.
    std::string lastUnplanned = {};
    // Resets of flows whose agent was lost, which docs/OPERATING.md announces.
    std::uint64_t announcedResets = 0;

    bool operator==(const check_state &) const = default;
};

} // namespace lycheeshunt::soak
