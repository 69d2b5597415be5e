// Founding a cluster, and changes of the replicated configuration.
//
// Founding: the first by name of the VMs that the settings list writes the first configuration,
// once each of the others has said that its disk is empty. So two empty disks beside one that is
// not can never found a second cluster.
//
// Repair: a disk that the configuration does not know takes the place of its namesake as a
// non-voter; it becomes a voter when it has synced all that is committed.

#pragma once

#include "lycheeshunt/replication/internal/replica_work.h"

#include <algorithm>
#include <functional>

namespace lycheeshunt::replication::internal {

// The greatest number that a quorum of voters has reached, by what `reached` says of each.
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

// Remembers the configuration that an entry of that kind holds.
void trackConfiguration(replica_state &state, const log_entry &entry);
void forgetConfigurations(replica_state &state, base::generation from);

void takePresence(replica_work work, const replica_id &from, const presence &message);
void sendPresence(replica_work work);

// Writes the first configuration if it is this VM's turn.
void bootstrapCluster(replica_work work);

// A leader's next change, if one is due and none is under way.
void changeMembers(replica_work work);

// Greets these control VMs for a while.
void takeContacts(replica_work work, const std::vector<base::endpoint> &contacts);

} // namespace lycheeshunt::replication::internal
