#include "lycheeshunt/membership/internal/lease_book.h"

namespace lycheeshunt::membership::internal {

namespace {

void replaceLease(membership_state &state, const lease &next)
{
    const base::node_id id = next.member.id();
    state.leases.erase(id);
    state.leases.emplace(id, next);
    state.holders.insert_or_assign(next.member.packets, id);
}

void dropLease(membership_state &state, std::map<base::node_id, lease>::const_iterator held)
{
    const auto holder = state.holders.find(held->second.member.packets);
    if (holder != state.holders.end() && holder->second == held->first)
        state.holders.erase(holder);
    state.leases.erase(held);
}

void endLease(membership_state &state, base::node_id node, base::incarnation minIncarnation,
              base::clock_time now)
{
    const auto held = state.leases.find(node);
    if (held != state.leases.end())
        dropLease(state, held);
    state.gone.erase(node);
    state.gone.emplace(node, departed {minIncarnation, now});
    state.pending.insert(node);
}

void report(membership_state &state, const member &winner, const member &loser,
            std::vector<membership_action> &actions)
{
    if (state.clashes.insert(loser.id()).second)
        actions.emplace_back(report_clash {winner, loser});
}

bool isLate(const membership_state &state, const member &announced)
{
    const base::node_id id = announced.id();
    const auto held = state.leases.find(id);
    if (held != state.leases.end() && announced.incarnation < held->second.member.incarnation)
        return true;
    const auto gone = state.gone.find(id);
    return gone != state.gone.end() && announced.incarnation < gone->second.minIncarnation;
}

// Two names at one packet address: the newer incarnation has it. Returns whether that is the one
// announced.
bool winsAddress(membership_state &state, const member &announced, base::clock_time now,
                 std::vector<membership_action> &actions)
{
    const auto holder = state.holders.find(announced.packets);
    if (holder == state.holders.end() || holder->second == announced.id())
        return true;
    const base::node_id other = holder->second;
    const member rival = state.leases.at(other).member;
    const bool loses = announced.incarnation < rival.incarnation
        || (announced.incarnation == rival.incarnation && announced.id() < other);
    if (loses) {
        report(state, rival, announced, actions);
        return false;
    }
    report(state, announced, rival, actions);
    endLease(state, other, rival.incarnation, now);
    return true;
}

// A member may begin at a full share while its service has no agent that could take more.
bool hasFullPeer(const membership_state &state, const member &announced)
{
    for (auto it = state.committed.begin(); it != state.committed.end(); ++it) {
        const member &peer = it->second;
        if (peer.role == announced.role && peer.service == announced.service
            && peer.name != announced.name && peer.share == fullShare
            && peer.phase == member_phase::serving)
            return true;
    }
    return false;
}

base::clock_time rampStart(const membership_state &state, std::uint8_t share, base::clock_time now)
{
    return now - state.policy->rampStep * (share - 1);
}

lease newLease(const membership_state &state, const member &announced, std::uint32_t lapses,
               base::clock_time now)
{
    const bool ramps = announced.role == member_role::agent && hasFullPeer(state, announced);
    const std::uint8_t share = ramps ? std::uint8_t(1) : fullShare;
    return lease {announced, now, now, lapses, rampStart(state, share, now)};
}

lease renewed(const membership_state &state, const lease &held, const member &announced,
              base::clock_time now)
{
    // An incarnation that has begun to drain never serves again.
    const bool draining = held.member.phase == member_phase::draining;
    const member current = draining ? announced.withPhase(member_phase::draining) : announced;
    if (now - held.lastHeard > state.policy->suspectAfter)
        return lease {current, now, now, held.lapses + 1, held.rampSince};
    const bool forgiven = now - held.steadySince > state.policy->lapseForgiven;
    return lease {current, now, held.steadySince, forgiven ? 0 : held.lapses, held.rampSince};
}

} // namespace

void takeAnnouncement(membership_state &state, const member &announced, base::clock_time now,
                      std::vector<membership_action> &actions)
{
    if (isLate(state, announced))
        return;
    const base::node_id id = announced.id();
    const auto held = state.leases.find(id);
    const bool known = held != state.leases.end();
    if (known && announced.incarnation == held->second.member.incarnation
        && !announced.isSameIncarnationAs(held->second.member)) {
        report(state, held->second.member, announced, actions);
        return;
    }
    if (!winsAddress(state, announced, now, actions))
        return;
    state.clashes.erase(id);
    if (!known) {
        replaceLease(state, newLease(state, announced, 0, now));
        state.pending.insert(id);
        return;
    }
    const lease before = held->second;
    if (before.member.incarnation == announced.incarnation) {
        replaceLease(state, renewed(state, before, announced, now));
    } else {
        dropLease(state, held);
        replaceLease(state, newLease(state, announced, before.lapses + 1, now));
    }
    if (before.member != announced || now - before.lastHeard > state.policy->suspectAfter)
        state.pending.insert(id);
}

void takeLeave(membership_state &state, const member_left &left, base::clock_time now)
{
    const auto held = state.leases.find(left.node);
    if (held != state.leases.end() && held->second.member.incarnation > left.incarnation)
        return;
    endLease(state, left.node, base::incarnation(left.incarnation.value() + 1), now);
}

void startLease(membership_state &state, const member &committed, base::clock_time now)
{
    const auto held = state.leases.find(committed.id());
    base::clock_time lastHeard = now;
    if (held != state.leases.end()) {
        if (held->second.announced && held->second.member.incarnation >= committed.incarnation)
            return;
        // A change that control made to a silent member is no sign of life.
        if (held->second.member.isSameIncarnationAs(committed))
            lastHeard = held->second.lastHeard;
        dropLease(state, held);
    }
    if (state.holders.count(committed.packets) > 0)
        return;
    const member_phase phase = committed.phase == member_phase::draining ? member_phase::draining
                                                                         : member_phase::serving;
    replaceLease(state,
                 lease {committed.withPhase(phase), lastHeard, lastHeard, 0,
                        rampStart(state, committed.share, now), false});
}

void confirmGone(membership_state &state, base::node_id node, base::clock_time now)
{
    const auto held = state.leases.find(node);
    if (held == state.leases.end())
        return;
    const bool spoken
        = held->second.announced && now - held->second.lastHeard <= state.policy->suspectAfter;
    if (spoken)
        state.pending.insert(node);
    else
        endLease(state, node, held->second.member.incarnation, now);
}

void restartLeases(membership_state &state, base::clock_time now)
{
    std::map<base::node_id, lease> restarted;
    for (auto it = state.leases.begin(); it != state.leases.end(); ++it) {
        const lease &held = it->second;
        restarted.emplace(it->first, lease {held.member, now, now, 0, held.rampSince, false});
    }
    state.leases = std::move(restarted);
}

} // namespace lycheeshunt::membership::internal
