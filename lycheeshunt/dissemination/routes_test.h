// For tests: a desired state of one service and many routes to it.

#pragma once

#include "lycheeshunt/states/desired_state.h"

#include <netinet/in.h>

namespace lycheeshunt::dissemination::testing {

inline states::shared_state stateOf(std::uint64_t version, std::uint32_t count)
{
    const tickets::service_definition service {"logbook", {}, tickets::service_limits {}, 128};
    std::vector<tickets::address_route> all;
    for (std::uint32_t i = 0; i < count; ++i) {
        const base::endpoint where {0xc6120000 + i / 100, static_cast<std::uint16_t>(1 + i % 100)};
        all.push_back(tickets::address_route {tickets::service_address {where, IPPROTO_TCP},
                                              {tickets::route_share {service.id(), 1}},
                                              {},
                                              tickets::request_kind::idempotent,
                                              base::clock_time::ofMillis(2000),
                                              base::clock_time::ofMillis(500),
                                              1});
    }
    return std::make_shared<const states::desired_state>(
        states::desired_state {version, "", {service}, std::move(all)});
}

} // namespace lycheeshunt::dissemination::testing
