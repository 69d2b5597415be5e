#include "lycheeshunt/membership/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/membership/internal/batch_builder.h"
#include "lycheeshunt/membership/internal/lease_updates.h"

namespace lycheeshunt::membership {

namespace {

using membership_step = base::step<membership_state, membership_action>;

void applyCommitted(membership_state &state, const batch_committed &message, base::clock_time now)
{
    for (const base::node_id &id : message.batch.removed) {
        state.committed.erase(id);
        internal::confirmRemoval(state, id, now);
    }
    for (const member &updated : message.batch.updated) {
        state.committed.erase(updated.id());
        state.committed.emplace(updated.id(), updated);
        internal::startLease(state, updated, now);
    }
    state.lastProposal.reset();
}

void handleLeadership(membership_state &state, const leadership_changed &message,
                      base::clock_time now)
{
    if (message.leading && !state.leading)
        internal::restartLeases(state, now);
    state.leading = message.leading;
    state.lastProposal.reset();
}

// Removes expired records, so that the state stays bounded.
void removeExpired(membership_state &state, base::clock_time now)
{
    std::erase_if(state.leases, [&](const std::pair<const base::node_id, lease> &row) {
        return now - row.second.lastHeard > state.policy->massEvictAfter
            && state.committed.count(row.first) == 0;
    });
    std::erase_if(state.addressHolders,
                  [&](const std::pair<const base::endpoint, base::node_id> &row) {
                      return state.leases.count(row.second) == 0;
                  });
    std::erase_if(state.departed, [&](const std::pair<const base::node_id, departed_member> &row) {
        return now - row.second.at > state.policy->departedRetention;
    });
}

void proposeChanges(membership_state &state, base::clock_time now,
                    std::vector<membership_action> &actions)
{
    const bool waiting
        = state.lastProposal && now - *state.lastProposal < state.policy->proposalRetryInterval;
    if (!state.leading || waiting)
        return;
    const bool full = now >= state.nextCheck;
    if (!full && state.pending.empty())
        return;
    internal::batch_builder builder(state, now);
    if (full) {
        builder.addAll();
        removeExpired(state, now);
    } else {
        builder.addPending();
    }
    if (full || builder.isTruncated())
        state.nextCheck = builder.isTruncated() ? now : now + state.policy->checkInterval;
    membership_batch batch = builder.batch();
    state.pending.clear();
    if (batch.isEmpty())
        return;
    state.lastProposal = now;
    actions.emplace_back(propose_batch {std::move(batch)});
}

} // namespace

membership_step decide(membership_state state, const membership_message &message,
                       base::clock_time now)
{
    std::vector<membership_action> actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(
            base::overloaded {
                [&](const member_announced &announced) {
                    internal::handleAnnouncement(state, announced.member, now, actions);
                },
                [&](const member_left &left) { internal::handleLeave(state, left, now); },
                [&](const batch_committed &committed) { applyCommitted(state, committed, now); },
                [&](const leadership_changed &changed) { handleLeadership(state, changed, now); },
                [&](const membership_tick &) { proposeChanges(state, now, actions); },
            },
            message);
    });
    return membership_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::membership
