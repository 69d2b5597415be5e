// Dispatches committed entries of the replicated log to the duties that apply them, in log order,
// and outcomes of reads behind the entries that were committed before them. For a VM that has a
// long backlog, entries without a ticket are merged into one update.
//
//     committed_log log({tickets, states, membership, publisher});
//     log.deliver(entries);     // on the replication thread
//     log.completeStateRead(request, failure);      // on the replication thread
//     log.apply(other);      // on the ticket thread, for each action that passes through it

#pragma once

#include "lycheeshunt/base/request_id.h"
#include "lycheeshunt/daemon/internal/log_compaction.h"

#include <optional>

namespace lycheeshunt::base {
struct error;
}

namespace lycheeshunt::dissemination {
class publisher_duty;
}

namespace lycheeshunt::evacuations {
class evacuation_duty;
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
struct other_caught_up;
struct other_read_outcome;
class ticket_duty;
} // namespace lycheeshunt::tickets

namespace lycheeshunt::daemon::internal {

// The duties that receive committed entries. They must outlive the committed_log.
struct log_followers
{
    tickets::ticket_duty &tickets;
    states::state_duty &states;
    membership::membership_duty &membership;
    dissemination::publisher_duty &publisher;
    evacuations::evacuation_duty &evacuations;
};

class committed_log
{
public:
    explicit committed_log(const log_followers &followers) : m_followers(followers) { }

    void deliver(const std::vector<replication::log_entry> &entries);
    // All entries of terms before this one have been delivered.
    void completeCatchUp(std::uint64_t term);
    // Replaces the state by that of a snapshot.
    void restore(const replication::state_restored &restored);
    std::vector<replication::log_entry>
    compact(const std::vector<replication::log_entry> &entries) const;

    void completeStateRead(base::request_id request, const std::optional<base::error> &failure);
    void completeEvacuationRead(base::request_id request,
                                const std::optional<base::error> &failure);

    // Always true: the duties' rings are waited for, so that the entry is always accepted.
    bool apply(const tickets::other_committed &other);
    bool apply(const tickets::other_caught_up &caughtUp);
    bool apply(const tickets::other_read_outcome &read);

private:
    void deliverEntry(const replication::log_entry &entry);
    bool isMergeable(const std::vector<replication::log_entry> &entries) const;

    const log_followers m_followers;
    // Accessed by the replication thread only.
    log_compaction m_compaction;
    base::generation m_deliveredTo;
    bool m_hasDelivered = false;
};

} // namespace lycheeshunt::daemon::internal
