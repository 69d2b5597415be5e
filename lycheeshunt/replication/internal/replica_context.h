// Context of one step of the replication decision: the state being changed and the actions
// collected so far.

#pragma once

#include "lycheeshunt/replication/replica_action.h"
#include "lycheeshunt/replication/replica_message.h"
#include "lycheeshunt/replication/replica_state.h"

#include <vector>

namespace lycheeshunt::replication::internal {

struct replica_context
{
    replica_state &state;
    std::vector<replica_action> &actions;

    // Sends to the member's disk as named in the configuration.
    void send(const configuration_member &to, const peer_message &message) const
    {
        actions.emplace_back(peer_envelope {state.id(), to.id(), message});
    }

    void sendTo(const replica_id &to, const peer_message &message) const
    {
        actions.emplace_back(peer_envelope {state.id(), to, message});
    }

    void persistHardState() const { actions.emplace_back(hard_state {state.term, state.vote()}); }

    template <typename role_type>
    role_type *roleAs() const
    {
        return std::get_if<role_type>(&state.role);
    }

    const replica_timing &timing() const { return state.settings->timing; }
    const replica_bounds &bounds() const { return state.settings->bounds; }
};

} // namespace lycheeshunt::replication::internal
