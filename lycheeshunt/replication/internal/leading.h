// What a leader does: appends, sends, counts and commits.

#pragma once

#include "lycheeshunt/replication/internal/replica_work.h"

namespace lycheeshunt::replication::internal {

void becomeLeader(replica_work work);

// Appends proposals to the leader's log and sends them. Precondition: this replica leads.
void leadEntries(replica_work work, const std::vector<proposal> &proposals);

void takeProposals(replica_work work, const propose_entries &message);
void takeForwarded(replica_work work, const forwarded_proposal &message);

// To every member: what it lacks, or nothing but the term and the commit index.
void sendHeartbeats(replica_work work);
// Sends what the member lacks if nothing is under way to it.
void sendLacking(replica_work work, const configuration_member &member);

void takeAppendAnswer(replica_work work, const replica_id &from, const append_answer &answer);
void takeSnapshotAnswer(replica_work work, const replica_id &from, const snapshot_answer &answer);

// Heartbeats when due; steps down when a quorum has been silent for too long.
void leaderTick(replica_work work);

// Commits what a quorum has synced.
void advanceCommit(replica_work work);

} // namespace lycheeshunt::replication::internal
