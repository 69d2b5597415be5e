// What a control process knows of the entries' meaning to keep its snapshots small: every ticket
// stays, since its number must be answered for ever; of the desired states the highest stays, and
// membership batches become one.
//
//     log_compaction compaction;
//     compaction.follow(entry);                        // for each committed entry
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
    // Keeps count of who is a member now.
    void follow(const replication::log_entry &entry);

    std::vector<replication::log_entry>
    compact(const std::vector<replication::log_entry> &entries) const;

    // What entries without a ticket amount to, for a VM that has many to catch up with.
    static tickets::other_committed merge(const std::vector<replication::log_entry> &entries);

    // A batch out of a snapshot names all members; those known here and not in it are gone.
    replication::log_entry completed(const replication::log_entry &entry) const;

private:
    std::set<base::node_id> m_members;
};

} // namespace lycheeshunt::daemon::internal
