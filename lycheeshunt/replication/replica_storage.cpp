#include "lycheeshunt/replication/replica_storage.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/internal/file_calls.h"
#include "lycheeshunt/replication/internal/record.h"

#include <algorithm>
#include <tuple>

namespace lycheeshunt::replication {

namespace {

const std::string identityName = "identity";
const std::string voteName = "vote";
const std::string snapshotName = "snapshot";
const std::string probeName = "probe";
const std::string temporarySuffix = ".new";

// Larger than most entries, so that a disk with little room left does not count as writable.
constexpr std::size_t probeBytes = 64 * 1024;

using identity_fields = std::tuple<std::uint64_t>;
using vote_fields = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;
using snapshot_fields = std::tuple<std::uint64_t, std::uint64_t, std::string>;

base::error corrupt(const std::string &what)
{
    return base::error {base::error_code::logCorrupt, what};
}

// A record with the packed fields, then a record with the entries, which may be large and are
// already encoded.
std::string encodeSnapshot(const snapshot &taken)
{
    const std::string head = base::packFields(
        snapshot_fields(taken.index.value(), taken.term, encodeConfiguration(taken.configuration)));
    return internal::frameRecord(head) + internal::frameRecord(taken.entries);
}

base::result<snapshot> decodeSnapshot(std::string_view bytes)
{
    const base::result<internal::record_scan> scan = internal::scanRecords(bytes, snapshotName);
    if (const base::error *failure = base::errorOf(scan))
        return *failure;
    const internal::record_scan &records = base::valueOf(scan);
    if (records.bodies.size() != 2 || records.validBytes != bytes.size())
        return corrupt(snapshotName);
    const base::result<snapshot_fields> head
        = base::unpackFields<snapshot_fields>(records.bodies.front());
    if (!base::isOk(head))
        return corrupt(snapshotName);
    const auto &[index, term, members] = base::valueOf(head);
    const base::result<configuration> decoded = decodeConfiguration(members);
    if (!base::isOk(decoded))
        return corrupt(snapshotName);
    return snapshot {base::generation(index), term, base::valueOf(decoded),
                     std::string(records.bodies.back())};
}

// The entries that follow the snapshot. A log whose entry at the snapshot's index has another term
// conflicts with the snapshot: the replica crashed after it had stored a snapshot from a leader and
// before it had removed its own log. Such a log is discarded.
base::result<std::vector<log_entry>> entriesAfter(const snapshot *taken,
                                                  const std::vector<log_entry> &entries)
{
    const std::uint64_t start = taken == nullptr ? 0 : taken->index.value();
    std::vector<log_entry> kept;
    for (const log_entry &entry : entries) {
        if (entry.index.value() == start && entry.term != taken->term)
            return std::vector<log_entry>();
        if (entry.index.value() > start)
            kept.push_back(entry);
    }
    if (!kept.empty() && kept.front().index.value() != start + 1)
        return corrupt("the log does not start right after the snapshot");
    return kept;
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

base::result<replica_storage> replica_storage::open(file_set files, storage_id fresh)
{
    replica_storage storage(std::move(files));
    if (const std::optional<base::error> failure = storage.readAll(fresh))
        return *failure;
    return storage;
}

template <typename fields_type>
base::result<fields_type> replica_storage::readSingleRecord(const std::string &name) const
{
    const base::result<std::string> bytes = internal::readFile(m_files, name);
    if (const base::error *failure = base::errorOf(bytes))
        return *failure;
    const base::result<std::string> body = internal::decodeSingleRecord(base::valueOf(bytes), name);
    if (const base::error *failure = base::errorOf(body))
        return *failure;
    const base::result<fields_type> fields = base::unpackFields<fields_type>(base::valueOf(body));
    return base::isOk(fields) ? fields : corrupt(name);
}

std::optional<base::error> replica_storage::writeTemporaryFile(const std::string &name,
                                                               const std::string &bytes)
{
    // Truncates the file that an interrupted replacement may have left.
    if (std::optional<base::error> failure = internal::appendFile(m_files, name, {}))
        return failure;
    if (std::optional<base::error> failure = internal::truncateFile(m_files, name, 0))
        return failure;
    if (std::optional<base::error> failure = internal::appendFile(m_files, name, bytes))
        return failure;
    return internal::syncFile(m_files, name);
}

std::optional<base::error> replica_storage::replaceFile(const std::string &name,
                                                        const std::string &bytes)
{
    const std::string temporary = name + temporarySuffix;
    if (std::optional<base::error> failure = writeTemporaryFile(temporary, bytes)) {
        // What was written may be all the room that the disk had left.
        internal::removeFile(m_files, temporary);
        return failure;
    }
    if (std::optional<base::error> failure = internal::renameFile(m_files, temporary, name))
        return failure;
    return internal::syncFolder(m_files);
}

void replica_storage::removeTemporaryFiles(const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        // One that can't be removed does no harm but to take room.
        if (name.ends_with(temporarySuffix))
            internal::removeFile(m_files, name);
    }
}

base::result<storage_id> replica_storage::readIdentity(const std::vector<std::string> &names,
                                                       storage_id fresh)
{
    const bool isUsed = contains(names, voteName) || contains(names, snapshotName)
        || std::any_of(names.begin(), names.end(), internal::log_segments::isSegmentName);
    if (!contains(names, identityName)) {
        if (isUsed)
            return corrupt("the identity file is missing");
        const std::string body = base::packFields(identity_fields(fresh.value()));
        if (std::optional<base::error> failure
            = replaceFile(identityName, internal::frameRecord(body)))
            return *failure;
        return fresh;
    }
    const base::result<identity_fields> fields = readSingleRecord<identity_fields>(identityName);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return storage_id(std::get<0>(base::valueOf(fields)));
}

base::result<hard_state> replica_storage::readVote(const std::vector<std::string> &names) const
{
    if (!contains(names, voteName))
        return hard_state {};
    const base::result<vote_fields> fields = readSingleRecord<vote_fields>(voteName);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[term, node, storage] = base::valueOf(fields);
    return hard_state {term, replica_id {base::node_id(node), storage_id(storage)}};
}

base::result<shared_snapshot>
replica_storage::readSnapshot(const std::vector<std::string> &names) const
{
    if (!contains(names, snapshotName))
        return shared_snapshot();
    const base::result<std::string> bytes = internal::readFile(m_files, snapshotName);
    if (const base::error *failure = base::errorOf(bytes))
        return *failure;
    const base::result<snapshot> decoded = decodeSnapshot(base::valueOf(bytes));
    if (const base::error *failure = base::errorOf(decoded))
        return *failure;
    return std::make_shared<const snapshot>(base::valueOf(decoded));
}

base::result<std::vector<log_entry>>
replica_storage::readEntries(const std::vector<std::string> &names, const snapshot *taken)
{
    const base::result<std::vector<log_entry>> stored = m_segments.open(m_files, names);
    if (const base::error *failure = base::errorOf(stored))
        return *failure;
    base::result<std::vector<log_entry>> kept = entriesAfter(taken, base::valueOf(stored));
    if (!base::isOk(kept) || !base::valueOf(kept).empty())
        return kept;
    // Also segments without any entry: the next one belongs into a segment that is named after it.
    if (const std::optional<base::error> failure
        = m_segments.truncateFrom(m_files, base::generation(0)))
        return *failure;
    return kept;
}

std::optional<base::error> replica_storage::readAll(storage_id fresh)
{
    const base::result<std::vector<std::string>> names = internal::listFiles(m_files);
    if (const base::error *failure = base::errorOf(names))
        return *failure;
    removeTemporaryFiles(base::valueOf(names));
    const base::result<storage_id> self = readIdentity(base::valueOf(names), fresh);
    if (const base::error *failure = base::errorOf(self))
        return *failure;
    const base::result<hard_state> hard = readVote(base::valueOf(names));
    if (const base::error *failure = base::errorOf(hard))
        return *failure;
    const base::result<shared_snapshot> taken = readSnapshot(base::valueOf(names));
    if (const base::error *failure = base::errorOf(taken))
        return *failure;
    const base::result<std::vector<log_entry>> entries
        = readEntries(base::valueOf(names), base::valueOf(taken).get());
    if (const base::error *failure = base::errorOf(entries))
        return *failure;
    // A process may have ended between a rename and its sync.
    if (const std::optional<base::error> failure = internal::syncFolder(m_files))
        return *failure;
    const std::vector<log_entry> &kept = base::valueOf(entries);
    if (!kept.empty() && kept.back().term > base::valueOf(hard).term)
        return corrupt("the term on the disk is earlier than that of the last log entry");
    m_recovered = std::make_shared<const recovered_storage>(
        recovered_storage {base::valueOf(self), base::valueOf(hard), base::valueOf(taken), kept,
                           m_segments.tornBytes()});
    return std::nullopt;
}

std::optional<base::error> replica_storage::recordFailure(std::optional<base::error> failure)
{
    if (failure)
        m_failure = std::make_shared<const base::error>(*failure);
    return failure;
}

std::optional<base::error> replica_storage::writeProbeFile()
{
    const std::string name = probeName + temporarySuffix;
    std::optional<base::error> failure = writeTemporaryFile(name, std::string(probeBytes, '\0'));
    // Also after a failure, since the part that was written takes room.
    std::optional<base::error> notRemoved = internal::removeFile(m_files, name);
    return failure ? failure : notRemoved;
}

std::optional<base::error> replica_storage::probe()
{
    if (std::optional<base::error> failure = recordFailure(writeProbeFile()))
        return failure;
    return persist(m_recovered->hard);
}

std::optional<base::error> replica_storage::persist(const hard_state &state)
{
    if (m_failure)
        return *m_failure;
    const std::string body = base::packFields(
        vote_fields(state.term, state.vote.node.value(), state.vote.storage.value()));
    return recordFailure(replaceFile(voteName, internal::frameRecord(body)));
}

std::optional<base::error> replica_storage::persist(const persist_entries &action)
{
    if (m_failure)
        return *m_failure;
    return recordFailure(m_segments.append(m_files, action.entries));
}

std::optional<base::error> replica_storage::persist(const persist_snapshot &action)
{
    if (m_failure)
        return *m_failure;
    if (std::optional<base::error> failure
        = recordFailure(replaceFile(snapshotName, encodeSnapshot(*action.snapshot))))
        return failure;
    if (action.isInstalled)
        return recordFailure(m_segments.truncateFrom(m_files, base::generation(0)));
    return recordFailure(m_segments.dropUpTo(m_files, action.snapshot->index));
}

std::optional<base::error> replica_storage::persist(const truncate_log &action)
{
    if (m_failure)
        return *m_failure;
    return recordFailure(m_segments.truncateFrom(m_files, action.from));
}

} // namespace lycheeshunt::replication
