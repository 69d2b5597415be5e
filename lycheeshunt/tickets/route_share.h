#pragma once

#include "lycheeshunt/base/identifiers.h"

#include <compare>

namespace lycheeshunt::tickets {

// A service's part of the new flows to an address.
struct route_share
{
    const base::service_id service;
    const std::uint32_t weight = 1;

    bool operator==(const route_share &) const = default;
};

} // namespace lycheeshunt::tickets
