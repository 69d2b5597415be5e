// The leader: appends proposals, replicates them to the members and commits them.

#pragma once

#include "lycheeshunt/replication/internal/replica_context.h"

namespace lycheeshunt::replication::internal {

void becomeLeader(replica_context context);

// Appends proposals to the leader's log and sends them to the members. Precondition: this replica
// is the leader.
void appendAndReplicate(replica_context context, const std::vector<proposal> &proposals);

void handleProposals(replica_context context, const propose_entries &message);
void handleForwardedProposal(replica_context context, const forwarded_proposal &message);

// Sends every member a heartbeat, and any entries that it is missing. Unanswered entries are sent
// again after the retransmit timeout.
void sendHeartbeats(replica_context context);
// Sends entries, or a snapshot piece, that the member is missing, unless some are already in
// flight.
void sendMissingEntries(replica_context context, const configuration_member &member);

// Sends a member that was silent, as one that has restarted, a heartbeat at once, so that it knows
// the leader. Does nothing unless this replica is the leader.
void greetReturningMember(replica_context context, const replica_id &from);

void handleAppendAnswer(replica_context context, const replica_id &from,
                        const append_answer &answer);
void handleSnapshotAnswer(replica_context context, const replica_id &from,
                          const snapshot_answer &answer);

// Sends heartbeats when due, and steps down when no quorum has responded for electionMin.
void leaderTick(replica_context context);

// Commits the entries that a quorum has synced.
void advanceCommit(replica_context context);

} // namespace lycheeshunt::replication::internal
