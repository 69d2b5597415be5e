#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/tickets/request_kind.h"
#include "lycheeshunt/tickets/route_share.h"
#include "lycheeshunt/tickets/service_address.h"

#include <vector>

namespace lycheeshunt::tickets {

// Where the flows to one address go, and what their requests are like.
struct address_route
{
    const service_address address = {};
    // New flows are split over these by weight; the sum of the weights is above 0.
    const std::vector<route_share> shares = {};
    // Services that had a share before, the latest first: open flows stay with them.
    const std::vector<base::service_id> former = {};
    const request_kind kind = request_kind::nonIdempotent;
    // Callers time out after this.
    const base::clock_time timeout = {};
    const base::clock_time targetLatency = {};
    // 0 is the highest priority.
    const std::uint32_t priority = 0;
    // `former` has reached its bound, so open flows may be with services that it does not list.
    const bool isFormerIncomplete = false;

    bool hasShare(base::service_id service) const
    {
        for (const route_share &share : shares) {
            if (share.service == service && share.weight > 0)
                return true;
        }
        return false;
    }

    bool operator==(const address_route &) const = default;
};

} // namespace lycheeshunt::tickets
