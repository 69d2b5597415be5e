// Compacts log entries by their meaning to keep a control process's snapshots small: every ticket
// is kept, since queries for its number are always answered; of the desired states only the
// one of the highest version is kept, of the evacuation orders the last one of each zone, and
// membership batches are merged into one.
//
//     log_compaction compaction;
//     compaction.trackMembers(entry);                        // for each committed entry
//     std::vector<log_entry> kept = compaction.compact(entries);
//
// Not thread-safe: the replication thread alone uses it.

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/replication/log_entry.h"

#include <set>
#include <vector>

namespace lycheeshunt::tickets {
struct other_committed;
}

namespace lycheeshunt::daemon::internal {

class log_compaction
{
public:
    // Updates the set of current members by a committed entry.
    void trackMembers(const replication::log_entry &entry);

    std::vector<replication::log_entry>
    compact(const std::vector<replication::log_entry> &entries) const;

    // Merges entries without a ticket into one update, for a VM that has a long backlog.
    static tickets::other_committed merge(const std::vector<replication::log_entry> &entries);

    // A batch in a snapshot lists all members: adds those that are members here and are not listed
    // as removed.
    replication::log_entry withRemovals(const replication::log_entry &entry) const;

private:
    std::set<base::node_id> m_members;
};

} // namespace lycheeshunt::daemon::internal
