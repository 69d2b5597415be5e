// From a packet's flow to the agent that directs it, in constant time and without any state for
// the flow. Immutable; built once for each view, from the table before it where there is one: only
// the services whose directors changed cost anything to build.
//
//     const routing_table table(view, before);
//     const routing_outcome outcome = table.routeOf(key);

#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/routing/bucket_table.h"
#include "lycheeshunt/routing/route.h"
#include "lycheeshunt/routing/unroutable.h"

#include <memory>
#include <unordered_map>
#include <variant>

namespace lycheeshunt::routing {

using routing_outcome = std::variant<route, unroutable>;

class routing_table
{
public:
    routing_table() = default;
    explicit routing_table(const dissemination::cluster_view &view);
    routing_table(const dissemination::cluster_view &view, const routing_table &before);

    base::generation at() const { return m_at; }
    routing_outcome routeOf(const base::flow_key &key) const;

private:
    struct service_entry;

    using shared_entry = std::shared_ptr<const service_entry>;

    base::generation m_at;
    std::unordered_map<base::service_id, shared_entry> m_services;
    std::unordered_map<std::uint64_t, shared_entry> m_addresses;
};

using shared_table = std::shared_ptr<const routing_table>;

// The agents that may direct flows of a service, in a fixed order: those that are not draining
// and not suspected, or all of them when none is left.
std::vector<target> directorsOf(const dissemination::cluster_view &view, base::service_id service);

} // namespace lycheeshunt::routing
