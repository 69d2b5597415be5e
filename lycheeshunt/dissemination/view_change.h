// What is different between two generations. It names the state that each touched object has
// afterwards, so applying it twice, or over part of itself, gives the same view.
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
    // Without a definition: the service is removed.
    const std::map<base::service_id, std::optional<tickets::service_definition>> services = {};
    const std::map<base::node_id, member_change> members = {};
    // Every node gets these: a drain may come before its member.
    const std::map<std::string, bool> draining = {};
    // Without a route: the address is no longer served. Only nodes with a whole view get these.
    const std::map<tickets::service_address, std::optional<tickets::address_route>> routes = {};

    std::size_t size() const
    {
        return services.size() + members.size() + draining.size() + routes.size();
    }

    view_change within(const view_scope &scope) const;
    cluster_view appliedTo(const cluster_view &view, base::generation next) const;

    bool operator==(const view_change &) const = default;
};

// The changes one after another, as one.
view_change merged(const std::vector<const view_change *> &changes);

view_change changeOf(const tickets::ticket &ticket);
// A desired state replaces all services and routes of the view.
view_change changeOf(const cluster_view &view, const states::desired_state &state);
view_change changeOf(const cluster_view &view, const membership::membership_batch &batch);

} // namespace lycheeshunt::dissemination
