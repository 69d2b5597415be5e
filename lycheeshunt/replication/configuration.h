#pragma once

#include "lycheeshunt/replication/configuration_member.h"

#include <vector>

namespace lycheeshunt::replication {

// Members of the control group and which of them vote. It is replicated as a log entry. Consecutive
// configurations differ by at most one voter, so that any two of their quorums overlap.
struct configuration
{
    const std::vector<configuration_member> members = {};

    // Null when the node is not a member.
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

    // Copy in which `changed` is added or replaces the member of the same name.
    configuration with(const configuration_member &changed) const
    {
        std::vector<configuration_member> next;
        for (const configuration_member &member : members) {
            if (member.name != changed.name)
                next.push_back(member);
        }
        next.push_back(changed);
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
