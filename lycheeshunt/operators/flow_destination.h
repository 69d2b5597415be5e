// Explains where a new flow would go by one view, without sending anything.
//
//     const routing::routing_table table(view);
//     const base::result<flow_destination> destination = destinationOf(view, table, key);

#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/routing/routing_table.h"

namespace lycheeshunt::operators {

// Where a new flow of the key goes by one view, and why.
struct flow_destination
{
    const base::flow_key key;
    const routing::flow_split split;
    // Services that may have an open flow of the key, in the order in which entries ask them. A new
    // flow goes to the first.
    const std::vector<base::service_id> services;
    // An open flow may also be with a service that is not listed.
    const bool mayHaveOtherServices = false;
    // Within the first service, as are the agents. Empty for a service that the view doesn't have.
    const std::optional<base::bucket> bucket = {};
    const routing::routing_outcome director;
    const routing::routing_outcome backup;
    const std::vector<routing::restricted_agent> restricted = {};
    // Empty for an address that a service states without a route.
    const std::optional<tickets::address_route> route = {};

    bool operator==(const flow_destination &) const = default;
};

// Precondition: the table was built from the view. noSuchAddress when no service is at the address.
base::result<flow_destination> destinationOf(const dissemination::cluster_view &view,
                                             const routing::routing_table &table,
                                             const base::flow_key &key);

} // namespace lycheeshunt::operators
