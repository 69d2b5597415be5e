// Compares leases with the log and collects the differences into one bounded batch, most urgent
// first: draining members, new members, other updates, evictions.
//
//     batch_builder builder(state, now);
//     builder.addAll();
//     propose(builder.batch());

#pragma once

#include "lycheeshunt/membership/internal/silence_census.h"
#include "lycheeshunt/membership/membership_batch.h"

#include <array>
#include <vector>

namespace lycheeshunt::membership::internal {

class batch_builder
{
public:
    // The state must outlive the builder.
    batch_builder(const membership_state &state, base::clock_time now);

    // Adds all members that have a lease or are in the log.
    void addAll();
    // Adds only members that announced a change, or left, since the last check.
    void addPending();

    // Whether there were more changes than fit into one batch.
    bool isTruncated() const;
    membership_batch batch() const;

private:
    enum urgency : std::size_t { draining, joining, other, urgencies };

    void addDifference(base::node_id node, const lease *current);

    const membership_state &m_state;
    const base::clock_time m_now;
    silence_census m_census;
    std::array<std::vector<member>, urgencies> m_updated;
    std::vector<base::node_id> m_removed;
};

} // namespace lycheeshunt::membership::internal
