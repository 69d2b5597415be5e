#include "lycheeshunt/flows/internal/lookup_replies.h"

#include "lycheeshunt/flows/internal/directory.h"
#include "lycheeshunt/flows/internal/flow_searches.h"
#include "lycheeshunt/flows/internal/forwarding.h"
#include "lycheeshunt/flows/internal/recovery.h"
#include "lycheeshunt/flows/internal/server_trials.h"
#include "lycheeshunt/flows/internal/service_view.h"
#include "lycheeshunt/flows/lookup_answer.h"

#include <utility>

namespace lycheeshunt::flows::internal {

namespace {

void answer(flow_context &context, const flow_lookup &lookup, lookup_verdict verdict,
            const routing::target &owner)
{
    const flow_state &state = context.state;
    context.actions.emplace_back(
        send_to_peer {lookup.asker.packets,
                      lookup_answer {lookup.service, lookup.key, selfTarget(state),
                                     currentGeneration(state), verdict, owner}});
}

// Breaks the tie between two agents that are about to open the same flow and query each other.
bool hasPriorityOver(const flow_state &state, const flow_lookup &lookup)
{
    const routing::target *director = directorOf(state, lookup.key);
    if (director != nullptr && director->node == lookup.asker.node)
        return false;
    const std::pair<base::generation, base::node_id> ownRank(currentGeneration(state),
                                                             state.identity->node);
    return ownRank > std::make_pair(lookup.at, lookup.asker.node);
}

void answerWithoutOwner(flow_context &context, const flow_lookup &lookup)
{
    const flow_state &state = context.state;
    const routing::target self = selfTarget(state);
    const routing::target *director = directorOf(state, lookup.key);
    const bool isDirector = director != nullptr && isSelf(state, director->node)
        && currentGeneration(state) >= lookup.at;
    const pending_lookup *pending = state.lookups.find(lookup.key);
    const bool opening = pending != nullptr && pending->purpose == lookup_purpose::open;
    if (isDirector || (lookup.isOpening && opening && hasPriorityOver(state, lookup))) {
        answer(context, lookup, lookup_verdict::redirect, self);
        return;
    }
    // An earlier incarnation of this agent may own the flow. No answer is sent until the recovery
    // from the other agents has shown whether it does; the lookup is retried.
    if (isRecovering(state))
        return;
    if (lookup.isOpening)
        storeOwner(context, lookup.key, lookup.asker, lookup.at);
    answer(context, lookup, lookup_verdict::unknown, self);
}

} // namespace

void handleLookup(flow_context &context, const flow_lookup &lookup)
{
    const flow_state &state = context.state;
    if (lookup.service != state.identity->service)
        return;
    const owned_flow *flow = state.owned.find(lookup.key);
    if (flow != nullptr && flow->isClaimed()) {
        answer(context, lookup, lookup_verdict::owned, selfTarget(state));
        return;
    }
    const std::optional<routing::target> owner = knownOwner(state, lookup.key);
    if (owner)
        answer(context, lookup, lookup_verdict::owned, *owner);
    else if (state.identity->serverReturnsPackets)
        answer(context, lookup,
               mayServerHave(state, lookup.key) ? lookup_verdict::mayOwn : lookup_verdict::unknown,
               selfTarget(state));
    else
        answerWithoutOwner(context, lookup);
}

} // namespace lycheeshunt::flows::internal
