#include "lycheeshunt/replication/replica_log.h"

namespace lycheeshunt::replication {

std::vector<log_entry> replica_log::from(base::generation index, std::size_t maxEntries,
                                         std::size_t maxBytes) const
{
    std::vector<log_entry> found;
    std::size_t bytes = 0;
    for (const log_entry *entry = find(index); entry != nullptr; entry = find(index)) {
        bytes += entry->payload.size();
        if (!found.empty() && (found.size() >= maxEntries || bytes > maxBytes))
            break;
        found.push_back(*entry);
        index = after(index);
    }
    return found;
}

std::vector<log_entry> replica_log::between(base::generation first, base::generation last) const
{
    std::vector<log_entry> found;
    for (base::generation index = after(first); index <= last; index = after(index)) {
        if (const log_entry *entry = find(index))
            found.push_back(*entry);
    }
    return found;
}

void replica_log::truncateFrom(base::generation index)
{
    m_entries.erase(m_entries.lower_bound(index), m_entries.end());
}

void replica_log::dropUpTo(base::generation index)
{
    m_baseTerm = termAt(index).value_or(m_baseTerm);
    m_entries.erase(m_entries.begin(), m_entries.upper_bound(index));
    m_baseIndex = index;
}

} // namespace lycheeshunt::replication
