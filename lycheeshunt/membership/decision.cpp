#include "lycheeshunt/membership/decision.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/membership/internal/change_gatherer.h"
#include "lycheeshunt/membership/internal/lease_book.h"

namespace lycheeshunt::membership {

namespace {

using membership_step = base::step<membership_state, membership_action>;

void commit(membership_state &state, const batch_committed &message, base::clock_time now)
{
    for (const base::node_id &id : message.batch.gone) {
        state.committed.erase(id);
        internal::confirmGone(state, id, now);
    }
    for (const member &present : message.batch.present) {
        state.committed.erase(present.id());
        state.committed.emplace(present.id(), present);
        internal::startLease(state, present, now);
    }
    state.lastProposal.reset();
}

void lead(membership_state &state, const leadership_changed &message, base::clock_time now)
{
    if (message.leading && !state.leading)
        internal::restartLeases(state, now);
    state.leading = message.leading;
    state.lastProposal.reset();
}

// What no longer matters is dropped, so that the state stays bounded.
void forget(membership_state &state, base::clock_time now)
{
    std::erase_if(state.leases, [&](const std::pair<const base::node_id, lease> &row) {
        return now - row.second.lastHeard > state.policy->massEvictAfter
            && state.committed.count(row.first) == 0;
    });
    std::erase_if(state.holders, [&](const std::pair<const base::endpoint, base::node_id> &row) {
        return state.leases.count(row.second) == 0;
    });
    std::erase_if(state.gone, [&](const std::pair<const base::node_id, departed> &row) {
        return now - row.second.at > state.policy->departedKept;
    });
}

void check(membership_state &state, base::clock_time now, std::vector<membership_action> &actions)
{
    const bool waiting
        = state.lastProposal && now - *state.lastProposal < state.policy->proposalRetry;
    if (!state.leading || waiting)
        return;
    const bool full = now >= state.nextCheck;
    if (!full && state.pending.empty())
        return;
    internal::change_gatherer gatherer(state, now);
    if (full) {
        gatherer.gatherAll();
        forget(state, now);
    } else {
        gatherer.gatherPending();
    }
    if (full || gatherer.isTruncated())
        state.nextCheck = gatherer.isTruncated() ? now : now + state.policy->checkEvery;
    membership_batch batch = gatherer.batch();
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
    std::visit(base::overloaded {
                   [&](const member_announced &announced) {
                       internal::takeAnnouncement(state, announced.member, now, actions);
                   },
                   [&](const member_left &left) { internal::takeLeave(state, left, now); },
                   [&](const batch_committed &committed) { commit(state, committed, now); },
                   [&](const leadership_changed &changed) { lead(state, changed, now); },
                   [&](const membership_tick &) { check(state, now, actions); },
               },
               message);
    return membership_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::membership
