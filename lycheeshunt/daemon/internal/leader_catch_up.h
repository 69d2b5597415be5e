// Decides when a new leader has committed all entries of earlier terms: with the first entry of its
// own term.

#pragma once

#include <algorithm>
#include <cstdint>

namespace lycheeshunt::daemon::internal {

struct leader_catch_up
{
    // Term of the last committed entry.
    std::uint64_t committed = 0;
    // Term of this VM's leadership while it waits for the commit; 0 otherwise.
    std::uint64_t awaited = 0;

    // The next state when this VM leads the term, or, with term 0, when it does not lead.
    leader_catch_up withLeadership(std::uint64_t term) const
    {
        return leader_catch_up {committed, term};
    }
    leader_catch_up withCommit(std::uint64_t term) const
    {
        return leader_catch_up {std::max(committed, term), awaited};
    }
    // The group of a single VM commits before it announces its leadership.
    bool isComplete() const { return awaited != 0 && committed >= awaited; }

    bool operator==(const leader_catch_up &) const = default;
};

} // namespace lycheeshunt::daemon::internal
