#include "lycheeshunt/membership/decision.h"

#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::membership {

namespace {

using membership_step = base::step<membership_state, membership_action>;

constexpr base::clock_time leaseSpan = base::clock_time::ofSeconds(4);
// A proposal that the log could not take is made again after this.
constexpr base::clock_time proposalRetry = base::clock_time::ofMillis(1000);

void hear(membership_state &state, const member_announced &message, base::clock_time now)
{
    const base::node_id id = message.member.id();
    const auto known = state.leases.find(id);
    // A late announcement of an earlier life says nothing about the present one.
    if (known != state.leases.end() && message.member.life < known->second.member.life)
        return;
    state.leases.erase(id);
    state.leases.emplace(id, lease {message.member, now});
}

void commit(membership_state &state, const batch_committed &message, base::clock_time now)
{
    for (const member &present : message.batch.present) {
        state.committed.erase(present.id());
        state.committed.emplace(present.id(), present);
        // After a restart the log is the first that is known of a member: its lease starts now.
        state.leases.emplace(present.id(), lease {present, now});
    }
    for (const base::node_id &id : message.batch.gone)
        state.committed.erase(id);
    state.lastProposal = base::clock_time();
}

membership_batch differences(const membership_state &state, base::clock_time now)
{
    std::vector<member> present;
    std::vector<base::node_id> gone;
    for (auto it = state.leases.begin(); it != state.leases.end(); ++it) {
        if (now - it->second.heardAt > leaseSpan)
            continue;
        const auto committed = state.committed.find(it->first);
        if (committed == state.committed.end() || committed->second != it->second.member)
            present.push_back(it->second.member);
    }
    for (auto it = state.committed.begin(); it != state.committed.end(); ++it) {
        const auto held = state.leases.find(it->first);
        if (held == state.leases.end() || now - held->second.heardAt > leaseSpan)
            gone.push_back(it->first);
    }
    return membership_batch {std::move(present), std::move(gone)};
}

void check(membership_state &state, base::clock_time now, std::vector<membership_action> &actions)
{
    if (state.lastProposal != base::clock_time() && now - state.lastProposal < proposalRetry)
        return;
    membership_batch batch = differences(state, now);
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
                   [&](const member_announced &announced) { hear(state, announced, now); },
                   [&](const batch_committed &committed) { commit(state, committed, now); },
                   [&](const membership_tick &) { check(state, now, actions); },
               },
               message);
    return membership_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::membership
