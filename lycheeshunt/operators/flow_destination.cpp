#include "lycheeshunt/operators/flow_destination.h"

namespace lycheeshunt::operators {

base::result<flow_destination> destinationOf(const dissemination::cluster_view &view,
                                             const routing::routing_table &table,
                                             const base::flow_key &key)
{
    const std::optional<routing::flow_split> split = table.splitOf(key);
    if (!split)
        return base::error {
            base::error_code::noSuchAddress,
            "address " + key.service.text() + ", protocol " + std::to_string(key.protocol)
                + ": not among the addresses of generation " + std::to_string(view.at.value())};
    const std::vector<base::service_id> services = table.servicesFor(key);
    const base::service_id chosen = services.front();
    const auto route = view.routes.find(tickets::service_address {key.service, key.protocol});
    // The table leaves out a route without weights.
    const bool isRouted = route != view.routes.end() && table.traitsOf(key);
    return flow_destination {key,
                             *split,
                             services,
                             table.mayHaveOtherServices(key),
                             table.bucketWithin(chosen, key),
                             table.routeWithin(chosen, key, {}, false),
                             table.routeWithin(chosen, key, {}, true),
                             routing::restrictedAgentsOf(view, chosen),
                             isRouted ? std::optional(route->second) : std::nullopt};
}

} // namespace lycheeshunt::operators
