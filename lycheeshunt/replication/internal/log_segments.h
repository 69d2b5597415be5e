// The log on disk: a series of record files, each named after the index of its first entry. Only
// the last one is appended to.

#pragma once

#include "lycheeshunt/replication/file_set.h"
#include "lycheeshunt/replication/log_entry.h"

#include <map>

namespace lycheeshunt::replication::internal {

class log_segments
{
public:
    // Reads all segments in order. The last one is synced and its torn tail truncated.
    base::result<std::vector<log_entry>> open(file_set &files,
                                              const std::vector<std::string> &names);

    std::optional<base::error> append(file_set &files, const std::vector<log_entry> &entries);
    // Removes the entry at the index and all later ones.
    std::optional<base::error> truncateFrom(file_set &files, base::generation index);
    // Removes the segments whose entries are all at or before the index.
    std::optional<base::error> dropUpTo(file_set &files, base::generation index);

    // Number of bytes that open() truncated.
    std::uint64_t tornBytes() const { return m_tornBytes; }

    static bool isSegmentName(const std::string &name);

private:
    struct segment
    {
        std::string name;
        // Start of each of its records, in bytes.
        std::vector<std::uint64_t> offsets;
        std::uint64_t size = 0;
    };

    base::result<std::vector<log_entry>> openSegment(file_set &files, const std::string &name,
                                                     bool isLast);
    // Truncates the torn tail and syncs the rest: a process may have ended between write and sync.
    std::optional<base::error> makeDurable(file_set &files, const segment &read,
                                           std::uint64_t length);
    bool needsNewSegment() const;

    // Keyed by the index of the first entry.
    std::map<std::uint64_t, segment> m_segments;
    std::uint64_t m_tornBytes = 0;
};

} // namespace lycheeshunt::replication::internal
