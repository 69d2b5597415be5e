#include "lycheeshunt/membership/internal/batch_builder.h"

#include "lycheeshunt/membership/internal/lease_evaluation.h"

#include <algorithm>

namespace lycheeshunt::membership::internal {

batch_builder::batch_builder(const membership_state &state, base::clock_time now)
    : m_state(state), m_now(now)
{
}

void batch_builder::addAll()
{
    m_census = silence_census(m_state, m_now);
    for (auto it = m_state.leases.begin(); it != m_state.leases.end(); ++it)
        addDifference(it->first, &it->second);
    for (auto it = m_state.committed.begin(); it != m_state.committed.end(); ++it) {
        if (m_state.leases.count(it->first) == 0)
            addDifference(it->first, nullptr);
    }
}

void batch_builder::addPending()
{
    for (const base::node_id &node : m_state.pending) {
        const auto current = m_state.leases.find(node);
        if (current == m_state.leases.end())
            addDifference(node, nullptr);
        else if (m_now - current->second.lastHeard <= m_state.policy->silentAfter)
            addDifference(node, &current->second);
        // A silent member is left to the full check, which counts how many others are silent.
    }
}

void batch_builder::addDifference(base::node_id node, const lease *current)
{
    const auto found = m_state.committed.find(node);
    const member *committed = found == m_state.committed.end() ? nullptr : &found->second;
    const std::optional<member> target = current == nullptr
        ? std::nullopt
        : evaluateLease(*current, committed, m_census, *m_state.policy, m_now);
    if (!target) {
        if (committed != nullptr)
            m_removed.push_back(node);
        return;
    }
    if (committed != nullptr && *committed == *target)
        return;
    const bool drains = target->phase == member_phase::draining;
    m_updated[drains ? draining : committed == nullptr ? joining : other].push_back(*target);
}

bool batch_builder::isTruncated() const
{
    std::size_t changes = m_removed.size();
    for (const std::vector<member> &list : m_updated)
        changes += list.size();
    return changes > m_state.policy->maxBatch;
}

membership_batch batch_builder::batch() const
{
    std::vector<member> updated;
    for (const std::vector<member> &list : m_updated) {
        for (const member &changed : list) {
            if (updated.size() < m_state.policy->maxBatch)
                updated.push_back(changed);
        }
    }
    std::vector<base::node_id> removed = m_removed;
    removed.resize(std::min(removed.size(), m_state.policy->maxBatch - updated.size()));
    return membership_batch {std::move(updated), std::move(removed)};
}

} // namespace lycheeshunt::membership::internal
