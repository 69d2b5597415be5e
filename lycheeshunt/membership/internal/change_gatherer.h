// Compares leases with the log and gathers what differs into one bounded batch, the most urgent
// first: members that drain, then new ones, then the rest, then those to be evicted.
//
//     change_gatherer gatherer(state, now);
//     gatherer.gatherAll();
//     propose(gatherer.batch());

#pragma once

#include "lycheeshunt/membership/internal/silence_census.h"
#include "lycheeshunt/membership/membership_batch.h"

#include <array>
#include <vector>

namespace lycheeshunt::membership::internal {

class change_gatherer
{
public:
    // The state must outlive the gatherer.
    change_gatherer(const membership_state &state, base::clock_time now);

    // Every member that has a lease or stands in the log.
    void gatherAll();
    // Only members that were heard of, or left, since the last check.
    void gatherPending();

    // There was more than one batch holds.
    bool isTruncated() const;
    membership_batch batch() const;

private:
    enum urgency : std::size_t { draining, joining, other, urgencies };

    void compare(base::node_id node, const lease *held);

    const membership_state &m_state;
    const base::clock_time m_now;
    silence_census m_census;
    std::array<std::vector<member>, urgencies> m_present;
    std::vector<base::node_id> m_gone;
};

} // namespace lycheeshunt::membership::internal
