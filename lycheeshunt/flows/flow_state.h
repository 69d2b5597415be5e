// What one agent knows of flows: those it owns and, as director or backup, who owns the others.

#pragma once

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/agent_identity.h"
#include "lycheeshunt/flows/owned_flow.h"
#include "lycheeshunt/routing/bucket_table.h"

#include <memory>
#include <unordered_map>

namespace lycheeshunt::flows {

struct flow_state
{
    explicit flow_state(const agent_identity &self)
        : identity(std::make_shared<const agent_identity>(self))
    {
    }

    std::shared_ptr<const agent_identity> identity;
    dissemination::shared_view view;
    // Directors of this agent's service, and those of the view before.
    std::shared_ptr<const routing::bucket_table> buckets;
    std::shared_ptr<const routing::bucket_table> previousBuckets;
    bool draining = false;
    std::size_t maxOwned = 0;
    std::unordered_map<base::flow_key, owned_flow> owned;
    std::unordered_map<base::flow_key, base::node_id> directory;
};

} // namespace lycheeshunt::flows
