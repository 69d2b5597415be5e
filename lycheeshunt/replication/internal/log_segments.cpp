#include "lycheeshunt/replication/internal/log_segments.h"

#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/internal/file_calls.h"
#include "lycheeshunt/replication/internal/record.h"

#include <charconv>

namespace lycheeshunt::replication::internal {

namespace {

constexpr std::string_view prefix = "log-";
constexpr std::size_t digits = 20;
constexpr std::uint64_t segmentBytes = 4 * 1024 * 1024;

std::string nameOf(std::uint64_t first)
{
    const std::string number = std::to_string(first);
    return std::string(prefix) + std::string(digits - number.size(), '0') + number;
}

std::uint64_t firstOf(const std::string &name)
{
    std::uint64_t first = 0;
    std::from_chars(name.data() + prefix.size(), name.data() + name.size(), first);
    return first;
}

base::error corrupt(const std::string &what)
{
    return base::error {base::error_code::logCorrupt, what};
}

std::optional<base::error> appendAndSync(file_set &files, const std::string &name,
                                         const std::string &bytes)
{
    if (std::optional<base::error> failure = appendFile(files, name, bytes))
        return failure;
    return syncFile(files, name);
}

} // namespace

bool log_segments::isSegmentName(const std::string &name)
{
    return name.size() == prefix.size() + digits && name.compare(0, prefix.size(), prefix) == 0
        && name.find_first_not_of("0123456789", prefix.size()) == std::string::npos;
}

base::result<std::vector<log_entry>> log_segments::open(file_set &files,
                                                        const std::vector<std::string> &names)
{
    std::map<std::uint64_t, std::string> ordered;
    for (const std::string &name : names) {
        if (isSegmentName(name))
            ordered.emplace(firstOf(name), name);
    }
    std::vector<log_entry> entries;
    for (auto it = ordered.begin(); it != ordered.end(); ++it) {
        const base::result<std::vector<log_entry>> segmentEntries
            = openSegment(files, it->second, std::next(it) == ordered.end());
        if (const base::error *failure = base::errorOf(segmentEntries))
            return *failure;
        for (const log_entry &entry : base::valueOf(segmentEntries)) {
            if (!entries.empty() && entry.index.value() != entries.back().index.value() + 1)
                return corrupt(it->second + " does not follow the segment before it");
            entries.push_back(entry);
        }
    }
    return entries;
}

base::result<std::vector<log_entry>> log_segments::openSegment(file_set &files,
                                                               const std::string &name, bool isLast)
{
    const base::result<std::string> bytes = readFile(files, name);
    if (const base::error *failure = base::errorOf(bytes))
        return *failure;
    const base::result<record_scan> scan = scanRecords(base::valueOf(bytes), name);
    if (const base::error *failure = base::errorOf(scan))
        return *failure;
    segment opened {name, {}, base::valueOf(scan).validBytes};
    std::vector<log_entry> entries;
    std::uint64_t offset = 0;
    for (const std::string_view body : base::valueOf(scan).bodies) {
        const base::result<log_entry> entry = decodeEntry(body);
        if (!base::isOk(entry)
            || base::valueOf(entry).index.value() != firstOf(name) + entries.size())
            return corrupt(name + " at byte " + std::to_string(offset));
        entries.push_back(base::valueOf(entry));
        opened.offsets.push_back(offset);
        offset += recordHeaderBytes + body.size();
    }
    const std::size_t length = base::valueOf(bytes).size();
    if (opened.size < length && !isLast)
        return corrupt(name + " ends in the middle of a record");
    if (isLast) {
        if (const std::optional<base::error> failure = makeDurable(files, opened, length))
            return *failure;
    }
    m_segments[firstOf(name)] = std::move(opened);
    return entries;
}

std::optional<base::error> log_segments::makeDurable(file_set &files, const segment &read,
                                                     std::uint64_t length)
{
    m_tornBytes = length - read.size;
    if (m_tornBytes > 0) {
        if (std::optional<base::error> failure = truncateFile(files, read.name, read.size))
            return failure;
    }
    return syncFile(files, read.name);
}

bool log_segments::needsNewSegment() const
{
    return m_segments.empty() || std::prev(m_segments.end())->second.size >= segmentBytes;
}

std::optional<base::error> log_segments::append(file_set &files,
                                                const std::vector<log_entry> &entries)
{
    const bool isNew = needsNewSegment();
    if (isNew) {
        const std::uint64_t first = entries.front().index.value();
        m_segments[first] = segment {nameOf(first), {}, 0};
    }
    segment &active = std::prev(m_segments.end())->second;
    std::string bytes;
    for (const log_entry &entry : entries) {
        active.offsets.push_back(active.size + bytes.size());
        bytes += frameRecord(encodeEntry(entry));
    }
    if (std::optional<base::error> failure = appendAndSync(files, active.name, bytes)) {
        // Reading would show the bytes as written although a failed sync may have lost them.
        truncateFile(files, active.name, active.size);
        return failure;
    }
    active.size += bytes.size();
    return isNew ? syncFolder(files) : std::nullopt;
}

std::optional<base::error> log_segments::truncateFrom(file_set &files, base::generation index)
{
    // Segments are removed from the end backwards, so that a crash in between leaves no gap in the
    // log.
    while (!m_segments.empty() && std::prev(m_segments.end())->first >= index.value()) {
        const auto last = std::prev(m_segments.end());
        if (std::optional<base::error> failure = removeFile(files, last->second.name))
            return failure;
        if (std::optional<base::error> failure = syncFolder(files))
            return failure;
        m_segments.erase(last);
    }
    if (m_segments.empty())
        return std::nullopt;
    const auto last = std::prev(m_segments.end());
    const std::size_t kept = index.value() - last->first;
    segment &active = last->second;
    if (kept >= active.offsets.size())
        return std::nullopt;
    active.size = active.offsets[kept];
    active.offsets.resize(kept);
    if (std::optional<base::error> failure = truncateFile(files, active.name, active.size))
        return failure;
    return syncFile(files, active.name);
}

std::optional<base::error> log_segments::dropUpTo(file_set &files, base::generation index)
{
    // Segments are removed from the front, so that a crash in between leaves no gap in the log.
    while (!m_segments.empty()) {
        const auto first = m_segments.begin();
        if (first->first + first->second.offsets.size() > index.value() + 1)
            return std::nullopt;
        if (std::optional<base::error> failure = removeFile(files, first->second.name))
            return failure;
        if (std::optional<base::error> failure = syncFolder(files))
            return failure;
        m_segments.erase(first);
    }
    return std::nullopt;
}

} // namespace lycheeshunt::replication::internal
