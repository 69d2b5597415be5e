// Maps a packet's flow to the agent that directs it, in constant time and without per-flow state.
// Immutable; built once for each view. Services that are unchanged since the previous table share
// their buckets with it; the result equals that of a table built from scratch.
//
//     const routing_table next(view, current);
//     const routing_outcome outcome = next.routeOf(key);

#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/routing/bucket_table.h"
#include "lycheeshunt/routing/bypassed_agents.h"
#include "lycheeshunt/routing/flow_split.h"
#include "lycheeshunt/routing/no_route.h"
#include "lycheeshunt/routing/request_traits.h"
#include "lycheeshunt/routing/restricted_agent.h"
#include "lycheeshunt/routing/route.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace lycheeshunt::routing {

using routing_outcome = std::variant<route, no_route>;

class routing_table
{
public:
    routing_table() = default;
    explicit routing_table(const dissemination::cluster_view &view,
                           const routing_table &previous = routing_table());

    base::generation at() const { return m_at; }
    // Routes to the bucket's director, or to its backup if only the director is bypassed.
    routing_outcome routeOf(const base::flow_key &key, const bypassed_agents &bypassed = {}) const;

    // Whether the flow's service address is routed to any service.
    bool serves(const base::flow_key &key) const;
    // The services that may have a flow to this address: the one that a new flow goes to, the
    // others with a share, then those that had a share formerly. Empty when the address is not
    // served.
    std::vector<base::service_id> servicesFor(const base::flow_key &key) const;
    // The weights that choose the first of these. Empty when the address is not served.
    std::optional<flow_split> splitOf(const base::flow_key &key) const;
    // What the address's route says of its requests. Empty for an address without a route.
    std::optional<request_traits> traitsOf(const base::flow_key &key) const;
    // Whether flows to this address may be with services that servicesFor() does not list.
    bool mayHaveOtherServices(const base::flow_key &key) const;
    // Whether servicesFor() has more than one.
    bool hasSeveralServices(const base::flow_key &key) const;
    // Like routeOf, within one service; with `avoidsDirector`, routes to the bucket's backup.
    routing_outcome routeWithin(base::service_id service, const base::flow_key &key,
                                const bypassed_agents &bypassed, bool avoidsDirector) const;
    // Empty when there is no such service.
    std::optional<base::bucket> bucketWithin(base::service_id service,
                                             const base::flow_key &key) const;

    // Every agent that packets may be sent to.
    std::vector<target> targets() const;
    // Memory used for the buckets of one service; 0 when there is no such service.
    std::size_t memoryBytesOf(base::service_id service) const;

private:
    struct service_entry;
    struct address_entry;
    using shared_entry = std::shared_ptr<const service_entry>;
    using shared_address = std::shared_ptr<const address_entry>;

    void applyRoutes(const dissemination::cluster_view &view);

    base::generation m_at;
    std::unordered_map<base::service_id, shared_entry> m_services;
    std::unordered_map<std::uint64_t, shared_address> m_addresses;
};

using shared_table = std::shared_ptr<const routing_table>;

// The agents that may direct flows of a service, in a fixed order. Leaves out draining agents,
// suspected ones and those whose backend server is in bad health. A criterion that would leave out
// all agents is not applied, nor is health when more than half of the remaining agents are in bad
// health.
std::vector<target> directorsOf(const dissemination::cluster_view &view, base::service_id service);

// The agents of a service to which a restriction applies.
std::vector<restricted_agent> restrictedAgentsOf(const dissemination::cluster_view &view,
                                                 base::service_id service);

} // namespace lycheeshunt::routing
