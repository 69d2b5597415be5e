// Bootstrap of a control group, and changes of the replicated configuration.
//
// Bootstrap: the first by name of the VMs listed in the settings, or the seed with the lowest
// address in an open group, writes the first configuration once each of the others has announced
// that its disk is empty. Two VMs with empty disks therefore cannot form a second group beside a
// third whose disk holds the log.
//
// Repair: a disk that is not in the configuration replaces the member of the same name as a
// non-voter. It becomes a voter once it has synced all committed entries.

#pragma once

#include "lycheeshunt/replication/internal/replica_context.h"

#include <algorithm>
#include <functional>

namespace lycheeshunt::replication::internal {

// The greatest value that a quorum of voters has reached; reached(member) returns that of one
// voter.
template <typename callable>
std::uint64_t quorumValue(const replica_state &state, callable reached)
{
    std::vector<std::uint64_t> values;
    for (const configuration_member &member : state.members().members) {
        if (member.isVoter)
            values.push_back(reached(member));
    }
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end(), std::greater<>());
    return values[values.size() / 2];
}

// Adds the configuration of the entry, if it holds one.
void addConfiguration(replica_state &state, const log_entry &entry);
void removeConfigurationsFrom(replica_state &state, base::generation from);

void handlePresence(replica_context context, const replica_id &from, const presence &message);
void announcePresence(replica_context context);

// Writes the first configuration if this VM has to and the others are ready.
void bootstrapCluster(replica_context context);

// On a leader, proposes the next change if one is due and no other is uncommitted.
void proposeMembershipChange(replica_context context);

// Announces this VM to these addresses too, until they have not been mentioned for a while.
void addContacts(replica_context context, const std::vector<base::endpoint> &contacts);

} // namespace lycheeshunt::replication::internal
