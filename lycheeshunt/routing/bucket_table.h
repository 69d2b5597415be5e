// Maps each bucket of one service to its director and its backup. Built by weighted rendezvous
// hashing: every node builds the same table from the same members, and a member that joins, leaves
// or changes its weight moves only the buckets that it gains or loses. Immutable.
//
//     const bucket_table table(buckets, targets);
//     const target &director = table.directorOf(table.bucketOf(hashOf(key)));

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/routing/bucket_owners.h"
#include "lycheeshunt/routing/bypassed_agents.h"
#include "lycheeshunt/routing/target.h"

#include <vector>

namespace lycheeshunt::routing {

class bucket_table
{
public:
    // Preconditions: buckets > 0; at most 65,536 targets. Computes a hash for each pair of a bucket
    // and a target.
    bucket_table(std::uint32_t buckets, std::vector<target> targets);

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_owners.size()); }
    bool hasTargets() const { return !m_targets.empty(); }
    const std::vector<target> &targets() const { return m_targets; }

    base::bucket bucketOf(std::uint64_t flowHash) const
    {
        const std::uint64_t index = m_mask != 0 ? flowHash & m_mask : flowHash % m_owners.size();
        return base::bucket(static_cast<std::uint32_t>(index));
    }

    // Precondition: hasTargets().
    const target &directorOf(base::bucket bucket) const
    {
        return m_targets[m_owners[bucket.value()].director];
    }
    const target &backupOf(base::bucket bucket) const
    {
        return m_targets[m_owners[bucket.value()].backup];
    }

    // The target that would own the bucket if the table had none of these nodes; null if no other
    // target is left.
    const target *ownerWithout(const bypassed_agents &excluded, base::bucket bucket) const;

    // Memory used by the table.
    std::size_t memoryBytes() const
    {
        return sizeof *this + m_targets.capacity() * sizeof(target)
            + m_owners.capacity() * sizeof(bucket_owners);
    }

    bool operator==(const bucket_table &) const = default;

private:
    std::vector<target> m_targets;
    // Number of buckets minus one when that number is a power of two, otherwise 0.
    std::uint32_t m_mask;
    std::vector<bucket_owners> m_owners;
};

} // namespace lycheeshunt::routing
