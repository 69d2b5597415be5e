#include "lycheeshunt/routing/bucket_table.h"

#include <xxhash.h>

namespace lycheeshunt::routing {

namespace {

std::uint64_t score(std::uint32_t bucket, base::node_id node)
{
    const std::uint64_t value = node.value();
    return XXH3_64bits_withSeed(&value, sizeof value, bucket);
}

bucket_owners highestTwo(std::uint32_t bucket, const std::vector<target> &targets)
{
    std::size_t first = 0;
    std::size_t second = 0;
    std::uint64_t firstScore = 0;
    std::uint64_t secondScore = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::uint64_t candidate = score(bucket, targets[i].node);
        if (i == 0 || candidate > firstScore) {
            second = first;
            secondScore = firstScore;
            first = i;
            firstScore = candidate;
        } else if (second == first || candidate > secondScore) {
            second = i;
            secondScore = candidate;
        }
    }
    return bucket_owners {static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(second)};
}

} // namespace

bucket_table::bucket_table(std::uint32_t buckets, std::vector<target> targets)
    : m_targets(std::move(targets))
{
    m_owners.reserve(buckets);
    for (std::uint32_t i = 0; i < buckets; ++i)
        m_owners.push_back(highestTwo(i, m_targets));
}

} // namespace lycheeshunt::routing
