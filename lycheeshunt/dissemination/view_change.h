// The difference between two generations. It contains the new state of each changed object, so that
// applying it is idempotent, also to a view that already has some of its changes.
//
//     const view_change change = changeOf(ticket);
//     const cluster_view next = change.appliedTo(view, generation);

#pragma once

#include "lycheeshunt/dissemination/member_change.h"
#include "lycheeshunt/dissemination/view_scope.h"
#include "lycheeshunt/tickets/address_route.h"
#include "lycheeshunt/tickets/service_definition.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheeshunt::evacuations {
struct evacuation_order;
}

namespace lycheeshunt::membership {
struct membership_batch;
}

namespace lycheeshunt::states {
struct desired_state;
}

namespace lycheeshunt::tickets {
struct ticket;
}

namespace lycheeshunt::dissemination {

struct cluster_view;

struct view_change
{
    // No definition: the service is removed.
    const std::map<base::service_id, std::optional<tickets::service_definition>> services = {};
    const std::map<base::node_id, member_change> members = {};
    // Sent to every node, as a drain may precede the member that it names.
    const std::map<std::string, bool> draining = {};
    // No route: the address is no longer served. Sent only to nodes with a complete view.
    const std::map<tickets::service_address, std::optional<tickets::address_route>> routes = {};
    // Zone to whether it is evacuated. Sent to every node: an agent is informed of its own zone.
    const std::map<std::string, bool> evacuations = {};

    std::size_t size() const
    {
        return services.size() + members.size() + draining.size() + routes.size()
            + evacuations.size();
    }

    view_change within(const view_scope &scope) const;
    cluster_view appliedTo(const cluster_view &view, base::generation next) const;

    bool operator==(const view_change &) const = default;
};

// Combines consecutive changes into one.
view_change merged(const std::vector<const view_change *> &changes);

view_change changeOf(const tickets::ticket &ticket);
// The desired state replaces all services and routes of the view.
view_change changeOf(const cluster_view &view, const states::desired_state &state);
view_change changeOf(const cluster_view &view, const membership::membership_batch &batch);
// Of several orders for one zone the last one counts.
view_change changeOf(const std::vector<evacuations::evacuation_order> &orders);

} // namespace lycheeshunt::dissemination
