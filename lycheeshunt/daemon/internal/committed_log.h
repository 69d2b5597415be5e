// Hands what the replicated log has committed to the duties that live by it, in the order of the
// log. A VM that has much to catch up with hears what the entries amount to, not each of them.
//
//     committed_log log({tickets, states, membership, publisher});
//     log.take(entries);     // on the replication thread
//     log.apply(other);      // on the ticket thread, for each other_committed that comes back

#pragma once

#include "lycheeshunt/daemon/internal/log_compaction.h"

namespace lycheeshunt::dissemination {
class publisher_duty;
}

namespace lycheeshunt::membership {
class membership_duty;
}

namespace lycheeshunt::replication {
struct state_restored;
}

namespace lycheeshunt::states {
class state_duty;
}

namespace lycheeshunt::tickets {
class ticket_duty;
}

namespace lycheeshunt::daemon::internal {

// They outlive the log.
struct log_followers
{
    tickets::ticket_duty &tickets;
    states::state_duty &states;
    membership::membership_duty &membership;
    dissemination::publisher_duty &publisher;
};

class committed_log
{
public:
    explicit committed_log(const log_followers &followers) : m_followers(followers) { }

    void take(const std::vector<replication::log_entry> &entries);
    // Of a snapshot.
    void restore(const replication::state_restored &restored);
    std::vector<replication::log_entry>
    compact(const std::vector<replication::log_entry> &entries) const;

    // Always true: the entry has been taken.
    bool apply(const tickets::other_committed &other);

private:
    void takeEntry(const replication::log_entry &entry);

    const log_followers m_followers;
    // These belong to the replication thread.
    log_compaction m_compaction;
    base::generation m_appliedTo;
};

} // namespace lycheeshunt::daemon::internal
