#pragma once

#include "lycheeshunt/tickets/address_route.h"
#include "lycheeshunt/tickets/service_definition.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lycheeshunt::states {

// The complete configuration that operators request, under one version. The highest version is in
// force.
struct desired_state
{
    const std::uint64_t version = 0;
    // The operator's document, returned unchanged by a read.
    const std::string document = {};
    const std::vector<tickets::service_definition> services = {};
    const std::vector<tickets::address_route> routes = {};

    bool operator==(const desired_state &) const = default;
};

using shared_state = std::shared_ptr<const desired_state>;

} // namespace lycheeshunt::states
