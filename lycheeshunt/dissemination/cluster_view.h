// The cluster at one generation, as nodes need it. Immutable: applying a log entry creates the next
// view. The same entries in the same order give the same view on every node.
//
//     const cluster_view next = view.withTicket(generation, ticket);

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/base/planted_fault.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/tickets/address_route.h"
#include "lycheeshunt/tickets/ticket.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace lycheeshunt::dissemination {

struct cluster_view
{
    const base::generation at;
    const std::map<base::service_id, tickets::service_definition> services = {};
    const std::map<base::node_id, membership::member> members = {};
    // Names of the agents that tickets have set to draining.
    const std::set<std::string> draining = {};
    // Addresses that split their flows over services. Only in a complete view.
    const std::map<tickets::service_address, tickets::address_route> routes = {};
    // Availability zones that are out of service.
    const std::set<std::string> evacuated = {};

    cluster_view withTicket(base::generation next, const tickets::ticket &ticket) const;
    cluster_view withBatch(base::generation next, const membership::membership_batch &batch) const;

    // Whether the member accepts no new flows.
    bool isDraining(const membership::member &member) const
    {
#ifdef LYCHEESHUNT_PLANTED_FAULTS
        if (base::isFaultPlanted("evacuation_ignored"))
            return isDrained(member);
#endif
        return isDrained(member) || isEvacuated(member);
    }
    // Whether the member itself, or a ticket, has ended its service.
    bool isDrained(const membership::member &member) const
    {
        return member.phase == membership::member_phase::draining
            || draining.count(member.name) > 0;
    }
    // Whether the member is an agent in an evacuated zone. It serves again when the zone does.
    bool isEvacuated(const membership::member &member) const
    {
        return member.role == membership::member_role::agent
            && evacuated.count(member.availabilityZone) > 0;
    }

    bool operator==(const cluster_view &) const = default;
};

using shared_view = std::shared_ptr<const cluster_view>;

} // namespace lycheeshunt::dissemination
