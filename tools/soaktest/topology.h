// The processes of the deployment, and what the checks need of them.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "tools/soaktest/backend_place.h"

#include <map>
#include <string>
#include <vector>

namespace lycheeshunt::soak {

struct topology
{
    std::vector<std::string> controls;
    std::vector<std::string> entries;
    // By the name of the agent, which its backend server shares.
    std::map<std::string, backend_place> backends;
    std::map<base::endpoint, std::string> serviceOfAddress;

    bool operator==(const topology &) const = default;
};

// Three control VMs, two entries and four agents: two services with one agent in each of two zones.
topology defaultTopology();

} // namespace lycheeshunt::soak
