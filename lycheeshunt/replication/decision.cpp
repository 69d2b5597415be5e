#include "lycheeshunt/replication/decision.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/replication/internal/commit.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/following.h"
#include "lycheeshunt/replication/internal/leading.h"
#include "lycheeshunt/replication/internal/membership_change.h"
#include "lycheeshunt/replication/internal/reads.h"
#include "lycheeshunt/replication/recovered_storage.h"

namespace lycheeshunt::replication {

namespace {

using internal::replica_work;

void takeTick(replica_work work)
{
    internal::sendPresence(work);
    internal::bootstrapCluster(work);
    if (work.roleAs<leader_role>() != nullptr)
        internal::leaderTick(work);
    else if (work.state.now >= work.state.electionDeadline)
        internal::campaign(work);
}

// An empty disk follows only the disk that its sender last named as its own: what is left of an
// earlier cluster of the same names must not be taken for this one.
bool isFromKnownDisk(const replica_state &state, const replica_id &from)
{
    const auto known = state.presences.find(from.node);
    return state.isFormed()
        || (known != state.presences.end() && known->second.storage == from.storage);
}

void takeEnvelope(replica_work work, const peer_envelope &envelope)
{
    const replica_id &from = envelope.from;
    const bool isGreeting
        = envelope.to.node == base::node_id() && std::holds_alternative<presence>(envelope.message);
    if ((envelope.to.node != work.state.self && !isGreeting) || from.node == work.state.self)
        return;
    if (const presence *there = std::get_if<presence>(&envelope.message)) {
        internal::takePresence(work, from, *there);
        return;
    }
    if (envelope.to.storage != work.state.storage || !isFromKnownDisk(work.state, from))
        return;
    std::visit(base::overloaded {
                   [&](const vote_request &m) { internal::takeVoteRequest(work, from, m); },
                   [&](const vote_answer &m) { internal::takeVoteAnswer(work, from, m); },
                   [&](const append_request &m) { internal::takeAppendRequest(work, from, m); },
                   [&](const append_answer &m) { internal::takeAppendAnswer(work, from, m); },
                   [&](const snapshot_piece &m) { internal::takeSnapshotPiece(work, from, m); },
                   [&](const snapshot_answer &m) { internal::takeSnapshotAnswer(work, from, m); },
                   [&](const forwarded_proposal &m) { internal::takeForwarded(work, m); },
                   [](const presence &) {},
               },
               envelope.message);
}

void takeFailure(replica_work work, const storage_failure &message)
{
    internal::refuseReads(work);
    work.state.role = failed_role {message.failure.code, message.failure.detail};
}

// What a replica whose storage failed still does: refuse by code.
void refuseAll(replica_work work, const replica_message &message)
{
    const base::error reason = internal::notLeading(work.state);
    if (const propose_entries *proposed = std::get_if<propose_entries>(&message)) {
        for (const proposal &refused : proposed->proposals)
            work.actions.emplace_back(proposal_refused {refused.kind, refused.token, reason});
    } else if (const read_request *read = std::get_if<read_request>(&message)) {
        work.actions.emplace_back(read_refused {read->request, reason});
    }
}

void dispatch(replica_work work, const replica_message &message)
{
    std::visit(base::overloaded {
                   [&](const replica_tick &) { takeTick(work); },
                   [&](const peer_envelope &m) { takeEnvelope(work, m); },
                   [&](const propose_entries &m) { internal::takeProposals(work, m); },
                   [&](const read_request &m) { internal::takeRead(work, m); },
                   [&](const snapshot_taken &m) { internal::takeSnapshotTaken(work, m); },
                   [&](const storage_failure &m) { takeFailure(work, m); },
                   [&](const contacts_changed &m) { internal::takeContacts(work, m.contacts); },
               },
               message);
}

} // namespace

leadership leadershipOf(const replica_state &state)
{
    if (std::holds_alternative<leader_role>(state.role))
        return leadership {state.term, true, state.settings->name, state.settings->api};
    const follower_role *follower = std::get_if<follower_role>(&state.role);
    const configuration_member *leader = follower != nullptr && follower->leader && state.isFormed()
        ? state.members().find(*follower->leader)
        : nullptr;
    if (leader == nullptr)
        return leadership {state.term};
    const auto seen = state.presences.find(*follower->leader);
    return leadership {state.term, false, leader->name,
                       seen == state.presences.end() ? base::endpoint {} : seen->second.api};
}

base::step<replica_state, replica_action>
decide(replica_state state, const replica_message &message, base::clock_time now)
{
    std::vector<replica_action> actions;
    state.now = std::max(state.now, now);
    const leadership earlier = leadershipOf(state);
    const configuration membersBefore = state.isFormed() ? state.members() : configuration {};
    const replica_work work {state, actions};
    if (std::holds_alternative<failed_role>(state.role))
        refuseAll(work, message);
    else
        dispatch(work, message);
    const leadership present = leadershipOf(state);
    if (present != earlier)
        actions.emplace_back(leadership_changed {present});
    if (state.isFormed() && state.members() != membersBefore)
        actions.emplace_back(members_changed {state.members()});
    return {std::move(state), std::move(actions)};
}

replica_state startReplica(std::shared_ptr<const replica_settings> settings,
                           const recovered_storage &recovered, std::uint32_t seed,
                           base::clock_time now)
{
    replica_state state;
    state.self = base::nodeIdOf(settings->name);
    state.settings = std::move(settings);
    state.storage = recovered.storage;
    state.term = recovered.hard.term;
    state.votedNode = recovered.hard.vote.node;
    state.votedStorage = recovered.hard.vote.storage;
    state.random.seed(seed);
    state.now = now;
    state.startedAt = now;
    state.latestSnapshot = recovered.snapshot;
    if (const snapshot *taken = state.latestSnapshot.get()) {
        state.log = replica_log(taken->index, taken->term);
        state.commit = taken->index;
        state.configurations.push_back(indexed_configuration {taken->index, taken->configuration});
    }
    for (const log_entry &entry : recovered.entries) {
        state.log.append(entry);
        internal::trackConfiguration(state, entry);
    }
    internal::restartElectionTimer(state);
    if (state.isFormed() && state.members().isQuorum(1))
        state.electionDeadline = now;
    return state;
}

} // namespace lycheeshunt::replication
