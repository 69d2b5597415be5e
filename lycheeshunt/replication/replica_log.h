// The log entries after the last snapshot, in memory. A value type without I/O.
//
//     log.append(entry);
//     const std::optional<std::uint64_t> term = log.termAt(index);

#pragma once

#include "lycheeshunt/replication/log_entry.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheeshunt::replication {

inline base::generation after(base::generation index)
{
    return base::generation(index.value() + 1);
}

inline base::generation before(base::generation index)
{
    return base::generation(index.value() - 1);
}

class replica_log
{
public:
    replica_log() = default;
    // An empty log that continues after a snapshot.
    replica_log(base::generation baseIndex, std::uint64_t baseTerm)
        : m_baseIndex(baseIndex), m_baseTerm(baseTerm)
    {
    }

    base::generation baseIndex() const { return m_baseIndex; }
    base::generation lastIndex() const
    {
        return base::generation(m_baseIndex.value() + m_entries.size());
    }
    std::uint64_t lastTerm() const
    {
        return m_entries.empty() ? m_baseTerm : m_entries.rbegin()->second.term;
    }
    std::size_t size() const { return m_entries.size(); }

    // Empty for an index after the end of the log or before its base.
    std::optional<std::uint64_t> termAt(base::generation index) const
    {
        if (index == m_baseIndex)
            return m_baseTerm;
        const log_entry *entry = find(index);
        return entry == nullptr ? std::nullopt : std::optional<std::uint64_t>(entry->term);
    }

    const log_entry *find(base::generation index) const
    {
        const auto found = m_entries.find(index);
        return found == m_entries.end() ? nullptr : &found->second;
    }

    // Entries from the index on, within both limits, but always at least one if there is any.
    std::vector<log_entry> from(base::generation index, std::size_t maxEntries,
                                std::size_t maxBytes) const;
    // Entries in (first, last].
    std::vector<log_entry> between(base::generation first, base::generation last) const;

    // Precondition: entry.index follows lastIndex().
    void append(const log_entry &entry) { m_entries.emplace(entry.index, entry); }
    void truncateFrom(base::generation index);
    // Precondition: baseIndex() <= index <= lastIndex().
    void dropUpTo(base::generation index);

    bool operator==(const replica_log &) const = default;

private:
    base::generation m_baseIndex;
    std::uint64_t m_baseTerm = 0;
    std::map<base::generation, log_entry> m_entries;
};

} // namespace lycheeshunt::replication
