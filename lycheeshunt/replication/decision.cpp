#include "lycheeshunt/replication/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/replication/internal/commit.h"
#include "lycheeshunt/replication/internal/election.h"
#include "lycheeshunt/replication/internal/follower.h"
#include "lycheeshunt/replication/internal/leader.h"
#include "lycheeshunt/replication/internal/membership_change.h"
#include "lycheeshunt/replication/internal/reads.h"
#include "lycheeshunt/replication/recovered_storage.h"

namespace lycheeshunt::replication {

namespace {

using internal::replica_context;

void handleTick(replica_context context)
{
    internal::announcePresence(context);
    internal::bootstrapCluster(context);
    if (context.roleAs<leader_role>() != nullptr)
        internal::leaderTick(context);
    else if (context.state.now >= context.state.electionDeadline)
        internal::campaign(context);
}

// A replica with an empty disk accepts messages only from the disk that the sender announced in its
// last presence message. This excludes messages of an earlier group with the same names.
bool isFromKnownDisk(const replica_state &state, const replica_id &from)
{
    const auto lastAnnounced = state.presences.find(from.node);
    return state.isFormed()
        || (lastAnnounced != state.presences.end()
            && lastAnnounced->second.storage == from.storage);
}

void handleEnvelope(replica_context context, const peer_envelope &envelope)
{
    const replica_id &from = envelope.from;
    const bool isGreeting
        = envelope.to.node == base::node_id() && std::holds_alternative<presence>(envelope.message);
    if ((envelope.to.node != context.state.self && !isGreeting) || from.node == context.state.self)
        return;
    if (const presence *announcement = std::get_if<presence>(&envelope.message)) {
        internal::handlePresence(context, from, *announcement);
        return;
    }
    if (envelope.to.storage != context.state.storage || !isFromKnownDisk(context.state, from))
        return;
    std::visit(
        base::overloaded {
            [&](const vote_request &m) { internal::handleVoteRequest(context, from, m); },
            [&](const vote_answer &m) { internal::handleVoteAnswer(context, from, m); },
            [&](const append_request &m) { internal::handleAppendRequest(context, from, m); },
            [&](const append_answer &m) { internal::handleAppendAnswer(context, from, m); },
            [&](const snapshot_piece &m) { internal::handleSnapshotPiece(context, from, m); },
            [&](const snapshot_answer &m) { internal::handleSnapshotAnswer(context, from, m); },
            [&](const forwarded_proposal &m) { internal::handleForwardedProposal(context, m); },
            [](const presence &) {},
        },
        envelope.message);
}

void handleStorageFailure(replica_context context, const storage_failure &message)
{
    internal::refusePendingReads(context);
    context.state.role = failed_role {message.failure.code, message.failure.detail};
}

// A replica whose storage has failed refuses proposals and reads, with the storage error. It notes
// contacts, since they are not repeated.
void dispatchWhileFailed(replica_context context, const replica_message &message)
{
    const base::error reason = internal::notLeaderError(context.state);
    if (const propose_entries *proposed = std::get_if<propose_entries>(&message)) {
        for (const proposal &refused : proposed->proposals)
            context.actions.emplace_back(proposal_refused {refused.kind, refused.token, reason});
    } else if (const read_request *read = std::get_if<read_request>(&message)) {
        context.actions.emplace_back(read_refused {read->request, reason});
    } else if (const contacts_changed *changed = std::get_if<contacts_changed>(&message)) {
        internal::addContacts(context, changed->contacts);
    }
}

void dispatch(replica_context context, const replica_message &message)
{
    std::visit(base::overloaded {
                   [&](const replica_tick &) { handleTick(context); },
                   [&](const peer_envelope &m) { handleEnvelope(context, m); },
                   [&](const propose_entries &m) { internal::handleProposals(context, m); },
                   [&](const read_request &m) { internal::handleReadRequest(context, m); },
                   [&](const snapshot_taken &m) { internal::handleSnapshotTaken(context, m); },
                   [&](const storage_failure &m) { handleStorageFailure(context, m); },
                   [&](const contacts_changed &m) { internal::addContacts(context, m.contacts); },
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
    const auto announced = state.presences.find(*follower->leader);
    return leadership {state.term, false, leader->name,
                       announced == state.presences.end() ? base::endpoint {}
                                                          : announced->second.api};
}

base::step<replica_state, replica_action>
decide(replica_state state, const replica_message &message, base::clock_time now)
{
    std::vector<replica_action> actions;
    state.now = std::max(state.now, now);
    const leadership leadershipBefore = leadershipOf(state);
    const configuration membersBefore = state.isFormed() ? state.members() : configuration {};
    const replica_context context {state, actions};
    const std::optional<base::error> fault = base::faultOf([&]() {
        if (std::holds_alternative<failed_role>(state.role))
            dispatchWhileFailed(context, message);
        else
            dispatch(context, message);
    });
    const leadership leadershipAfter = leadershipOf(state);
    // The actions after the failed write were skipped, perhaps an earlier notice among them.
    const bool isNoticeSkipped = std::holds_alternative<storage_failure>(message);
    if (leadershipAfter != leadershipBefore || isNoticeSkipped)
        actions.emplace_back(leadership_changed {leadershipAfter});
    if (state.isFormed() && state.members() != membersBefore)
        actions.emplace_back(members_changed {state.members()});
    return {std::move(state), std::move(actions), fault};
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
        internal::addConfiguration(state, entry);
    }
    internal::restartElectionTimer(state);
    if (state.isFormed() && state.members().isQuorum(1))
        state.electionDeadline = now;
    return state;
}

replica_state resumeReplica(const replica_state &failed, const recovered_storage &recovered,
                            std::uint32_t seed, base::clock_time now)
{
    replica_state state = startReplica(failed.settings, recovered, seed, now);
    state.contacts = failed.contacts;
    return state;
}

} // namespace lycheeshunt::replication
