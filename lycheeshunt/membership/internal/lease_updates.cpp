#include "lycheeshunt/membership/internal/lease_updates.h"

namespace lycheeshunt::membership::internal {

namespace {

void replaceLease(membership_state &state, const lease &next)
{
    const base::node_id id = next.member.id();
    state.leases.erase(id);
    state.leases.emplace(id, next);
    state.addressHolders.insert_or_assign(next.member.packets, id);
}

void dropLease(membership_state &state, std::map<base::node_id, lease>::const_iterator current)
{
    const auto holder = state.addressHolders.find(current->second.member.packets);
    if (holder != state.addressHolders.end() && holder->second == current->first)
        state.addressHolders.erase(holder);
    state.leases.erase(current);
}

void endLease(membership_state &state, base::node_id node, base::incarnation minIncarnation,
              base::clock_time now)
{
    const auto current = state.leases.find(node);
    if (current != state.leases.end())
        dropLease(state, current);
    state.departed.erase(node);
    state.departed.emplace(node, departed_member {minIncarnation, now});
    state.pending.insert(node);
}

void reportConflict(membership_state &state, const member &winner, const member &loser,
                    std::vector<membership_action> &actions)
{
    if (state.reportedConflicts.insert(loser.id()).second)
        actions.emplace_back(report_conflict {winner, loser});
}

bool isStale(const membership_state &state, const member &announced)
{
    const base::node_id id = announced.id();
    const auto current = state.leases.find(id);
    if (current != state.leases.end() && announced.incarnation < current->second.member.incarnation)
        return true;
    const auto departed = state.departed.find(id);
    return departed != state.departed.end()
        && announced.incarnation < departed->second.minIncarnation;
}

// Counts an announcement of a node that was removed. Returns whether the incarnation that left has
// announced itself for long enough to be a member again: its notice was wrong or another process
// sent it.
bool isReadmitted(membership_state &state, const member &announced, base::clock_time now)
{
    const auto found = state.departed.find(announced.id());
    if (found == state.departed.end())
        return false;
    const departed_member departed = found->second;
    if (announced.incarnation.value() + 1 != departed.minIncarnation.value())
        return false;
    const bool isUnbroken = departed.announcedSince != base::clock_time()
        && now - departed.lastAnnounced <= state.policy->suspectAfter;
    const base::clock_time since = isUnbroken ? departed.announcedSince : now;
    state.departed.erase(found);
    if (now - since >= state.policy->readmitAfter)
        return true;
    state.departed.emplace(announced.id(),
                           departed_member {departed.minIncarnation, departed.at, since, now});
    return false;
}

// If two names claim one packet address, the later incarnation gets it. Returns whether that is
// the announced member.
bool winsAddress(membership_state &state, const member &announced, base::clock_time now,
                 std::vector<membership_action> &actions)
{
    const auto holder = state.addressHolders.find(announced.packets);
    if (holder == state.addressHolders.end() || holder->second == announced.id())
        return true;
    const base::node_id other = holder->second;
    const member rival = state.leases.at(other).member;
    const bool loses = announced.incarnation < rival.incarnation
        || (announced.incarnation == rival.incarnation && announced.id() < other);
    if (loses) {
        reportConflict(state, rival, announced, actions);
        return false;
    }
    reportConflict(state, announced, rival, actions);
    endLease(state, other, rival.incarnation, now);
    return true;
}

// Whether the service has another agent at a full share. Without one, a new agent starts at a full
// share, as no other agent could take its part of the flows.
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

base::clock_time rampStartFor(const membership_state &state, std::uint8_t share,
                              base::clock_time now)
{
    return now - state.policy->rampInterval * (share - 1);
}

lease newLease(const membership_state &state, const member &announced, std::uint32_t flaps,
               base::clock_time now)
{
    const bool ramps = announced.role == member_role::agent && hasFullPeer(state, announced);
    const std::uint8_t share = ramps ? std::uint8_t(1) : fullShare;
    return lease {announced, now, now, flaps, rampStartFor(state, share, now)};
}

lease renewedLease(const membership_state &state, const lease &current, const member &announced,
                   base::clock_time now)
{
    // An incarnation that has started draining never serves again.
    const bool draining = current.member.phase == member_phase::draining;
    const member latest = draining ? announced.withPhase(member_phase::draining) : announced;
    if (now - current.lastHeard > state.policy->suspectAfter)
        return lease {latest, now, now, current.flaps + 1, current.rampSince};
    const bool resetsFlaps = now - current.stableSince > state.policy->flapResetAfter;
    return lease {latest, now, current.stableSince, resetsFlaps ? 0 : current.flaps,
                  current.rampSince};
}

} // namespace

void handleAnnouncement(membership_state &state, const member &announced, base::clock_time now,
                        std::vector<membership_action> &actions)
{
    if (isStale(state, announced) && !isReadmitted(state, announced, now))
        return;
    const base::node_id id = announced.id();
    const auto current = state.leases.find(id);
    const bool hasLease = current != state.leases.end();
    if (hasLease && announced.incarnation == current->second.member.incarnation
        && !announced.isSameIncarnationAs(current->second.member)) {
        reportConflict(state, current->second.member, announced, actions);
        return;
    }
    if (!winsAddress(state, announced, now, actions))
        return;
    state.reportedConflicts.erase(id);
    if (!hasLease) {
        replaceLease(state, newLease(state, announced, 0, now));
        state.pending.insert(id);
        return;
    }
    const lease before = current->second;
    if (before.member.incarnation == announced.incarnation) {
        replaceLease(state, renewedLease(state, before, announced, now));
    } else {
        dropLease(state, current);
        replaceLease(state, newLease(state, announced, before.flaps + 1, now));
    }
    if (before.member != announced || now - before.lastHeard > state.policy->suspectAfter)
        state.pending.insert(id);
}

void handleLeave(membership_state &state, const member_left &left, base::clock_time now)
{
    const auto current = state.leases.find(left.node);
    if (current != state.leases.end() && current->second.member.incarnation > left.incarnation)
        return;
    endLease(state, left.node, base::incarnation(left.incarnation.value() + 1), now);
}

void startLease(membership_state &state, const member &committed, base::clock_time now)
{
    const auto current = state.leases.find(committed.id());
    base::clock_time lastHeard = now;
    if (current != state.leases.end()) {
        if (current->second.announced
            && current->second.member.incarnation >= committed.incarnation)
            return;
        // A change that control made to a silent member does not renew its lease.
        if (current->second.member.isSameIncarnationAs(committed))
            lastHeard = current->second.lastHeard;
        dropLease(state, current);
    }
    if (state.addressHolders.count(committed.packets) > 0)
        return;
    const member_phase phase = committed.phase == member_phase::draining ? member_phase::draining
                                                                         : member_phase::serving;
    replaceLease(state,
                 lease {committed.withPhase(phase), lastHeard, lastHeard, 0,
                        rampStartFor(state, committed.share, now), false});
}

void confirmRemoval(membership_state &state, base::node_id node, base::clock_time now)
{
    const auto current = state.leases.find(node);
    if (current == state.leases.end())
        return;
    const bool isRecentlyHeard = current->second.announced
        && now - current->second.lastHeard <= state.policy->suspectAfter;
    if (isRecentlyHeard)
        state.pending.insert(node);
    else
        endLease(state, node, current->second.member.incarnation, now);
}

void restartLeases(membership_state &state, base::clock_time now)
{
    std::map<base::node_id, lease> restarted;
    for (auto it = state.leases.begin(); it != state.leases.end(); ++it) {
        const lease &current = it->second;
        restarted.emplace(it->first, lease {current.member, now, now, 0, current.rampSince, false});
    }
    state.leases = std::move(restarted);
}

} // namespace lycheeshunt::membership::internal
