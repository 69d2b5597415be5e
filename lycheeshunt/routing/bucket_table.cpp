#include "lycheeshunt/routing/bucket_table.h"

#include "lycheeshunt/routing/internal/rendezvous.h"

#include <bit>
#include <limits>

namespace lycheeshunt::routing {

namespace {

bucket_owners twoCheapest(base::bucket bucket, const std::vector<target> &targets)
{
    constexpr std::uint64_t none = std::numeric_limits<std::uint64_t>::max();
    std::size_t first = 0;
    std::size_t second = 0;
    std::uint64_t firstCost = none;
    std::uint64_t secondCost = none;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::uint64_t cost
            = internal::rendezvousCost(bucket, targets[i].node, targets[i].weight);
        if (cost < firstCost) {
            second = first;
            secondCost = firstCost;
            first = i;
            firstCost = cost;
        } else if (cost < secondCost) {
            second = i;
            secondCost = cost;
        }
    }
    return bucket_owners {static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(second)};
}

} // namespace

bucket_table::bucket_table(std::uint32_t buckets, std::vector<target> targets)
    : m_targets(std::move(targets)), m_mask(std::has_single_bit(buckets) ? buckets - 1 : 0)
{
    m_owners.reserve(buckets);
    for (std::uint32_t i = 0; i < buckets; ++i)
        m_owners.push_back(twoCheapest(base::bucket(i), m_targets));
}

const target *bucket_table::ownerWithout(const bypassed_agents &excluded, base::bucket bucket) const
{
    const target *owner = nullptr;
    std::uint64_t lowestCost = 0;
    for (const target &each : m_targets) {
        if (excluded.count(each.node) > 0)
            continue;
        const std::uint64_t cost = internal::rendezvousCost(bucket, each.node, each.weight);
        if (owner == nullptr || cost < lowestCost) {
            owner = &each;
            lowestCost = cost;
        }
    }
    return owner;
}

} // namespace lycheeshunt::routing
