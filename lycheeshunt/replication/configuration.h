#pragma once

#include "lycheeshunt/replication/configuration_member.h"

#include <vector>

namespace lycheeshunt::replication {

// Which control VMs hold the log and which of them vote; an entry of the log itself. Two
// configurations that follow each other differ in one voter, so that their quorums overlap.
struct configuration
{
    const std::vector<configuration_member> members = {};

    // Null when there is no member of this name.
    const configuration_member *find(base::node_id node) const
    {
        for (const configuration_member &member : members) {
            if (member.id().node == node)
                return &member;
        }
        return nullptr;
    }

    bool isVoter(const replica_id &replica) const
    {
        const configuration_member *member = find(replica.node);
        return member != nullptr && member->isVoter && member->storage == replica.storage;
    }

    std::size_t voterCount() const
    {
        std::size_t count = 0;
        for (const configuration_member &member : members)
            count += member.isVoter ? 1 : 0;
        return count;
    }

    bool isQuorum(std::size_t votes) const { return votes > voterCount() / 2; }

    // The same configuration with one member put in or put in place of its namesake.
    configuration with(const configuration_member &wanted) const
    {
        std::vector<configuration_member> next;
        for (const configuration_member &member : members) {
            if (member.name != wanted.name)
                next.push_back(member);
        }
        next.push_back(wanted);
        return configuration {std::move(next)};
    }

    configuration without(const std::string &name) const
    {
        std::vector<configuration_member> next;
        for (const configuration_member &member : members) {
            if (member.name != name)
                next.push_back(member);
        }
        return configuration {std::move(next)};
    }

    bool operator==(const configuration &) const = default;
};

} // namespace lycheeshunt::replication
