#include "lycheeshunt/membership/internal/change_gatherer.h"

#include "lycheeshunt/membership/internal/lease_judgement.h"

#include <algorithm>

namespace lycheeshunt::membership::internal {

change_gatherer::change_gatherer(const membership_state &state, base::clock_time now)
    : m_state(state), m_now(now)
{
}

void change_gatherer::gatherAll()
{
    m_census = silence_census(m_state, m_now);
    for (auto it = m_state.leases.begin(); it != m_state.leases.end(); ++it)
        compare(it->first, &it->second);
    for (auto it = m_state.committed.begin(); it != m_state.committed.end(); ++it) {
        if (m_state.leases.count(it->first) == 0)
            compare(it->first, nullptr);
    }
}

void change_gatherer::gatherPending()
{
    for (const base::node_id &node : m_state.pending) {
        const auto held = m_state.leases.find(node);
        if (held == m_state.leases.end())
            compare(node, nullptr);
        else if (m_now - held->second.lastHeard <= m_state.policy->quietAfter)
            compare(node, &held->second);
        // A quiet member is judged by the full check, which knows how many others are quiet.
    }
}

void change_gatherer::compare(base::node_id node, const lease *held)
{
    const auto found = m_state.committed.find(node);
    const member *committed = found == m_state.committed.end() ? nullptr : &found->second;
    const std::optional<member> wanted = held == nullptr
        ? std::nullopt
        : judgeLease(*held, committed, m_census, *m_state.policy, m_now);
    if (!wanted) {
        if (committed != nullptr)
            m_gone.push_back(node);
        return;
    }
    if (committed != nullptr && *committed == *wanted)
        return;
    const bool drains = wanted->phase == member_phase::draining;
    m_present[drains ? draining : committed == nullptr ? joining : other].push_back(*wanted);
}

bool change_gatherer::isTruncated() const
{
    std::size_t changes = m_gone.size();
    for (const std::vector<member> &list : m_present)
        changes += list.size();
    return changes > m_state.policy->maxBatch;
}

membership_batch change_gatherer::batch() const
{
    std::vector<member> present;
    for (const std::vector<member> &list : m_present) {
        for (const member &changed : list) {
            if (present.size() < m_state.policy->maxBatch)
                present.push_back(changed);
        }
    }
    std::vector<base::node_id> gone = m_gone;
    gone.resize(std::min(gone.size(), m_state.policy->maxBatch - present.size()));
    return membership_batch {std::move(present), std::move(gone)};
}

} // namespace lycheeshunt::membership::internal
