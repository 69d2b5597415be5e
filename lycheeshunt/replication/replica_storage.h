// Durable state of a replica: its identity, its term and vote, the last snapshot, and the log in
// segments of bounded size.
//
//     result<replica_storage> storage = replica_storage::open(file_set(...), freshIdentity);
//     startReplica(settings, valueOf(storage).recovered(), seed, now);
//     storage.persist(persist_entries {...});
//
// Every call returns only after its data has been synced. After a failure the contents of the disk
// are unknown, so every later call returns the same error. Not thread-safe.

#pragma once

#include "lycheeshunt/replication/file_set.h"
#include "lycheeshunt/replication/internal/log_segments.h"
#include "lycheeshunt/replication/persist_entries.h"
#include "lycheeshunt/replication/persist_snapshot.h"
#include "lycheeshunt/replication/recovered_storage.h"
#include "lycheeshunt/replication/truncate_log.h"

namespace lycheeshunt::replication {

class replica_storage
{
public:
    // An empty folder is given the identity `fresh`. A torn tail of the log is truncated and its
    // size reported; any other damage fails with logCorrupt, and no record is skipped. What was
    // read is synced, since the caller acts on it.
    static base::result<replica_storage> open(file_set files, storage_id fresh);

    const recovered_storage &recovered() const { return *m_recovered; }
    // Frees the recovered entries; recovered() must not be called after it.
    void releaseRecovered() { m_recovered.reset(); }

    // Checks that the folder takes a write of some size, a sync and a rename: writes a file and
    // removes it, and writes the term and vote that were read again.
    std::optional<base::error> probe();

    std::optional<base::error> persist(const hard_state &state);
    std::optional<base::error> persist(const persist_entries &action);
    std::optional<base::error> persist(const persist_snapshot &action);
    std::optional<base::error> persist(const truncate_log &action);

    const file_set &files() const { return m_files; }

private:
    explicit replica_storage(file_set files) : m_files(std::move(files)) { }

    template <typename fields_type>
    base::result<fields_type> readSingleRecord(const std::string &name) const;
    base::result<storage_id> readIdentity(const std::vector<std::string> &names, storage_id fresh);
    base::result<hard_state> readVote(const std::vector<std::string> &names) const;
    base::result<shared_snapshot> readSnapshot(const std::vector<std::string> &names) const;
    base::result<std::vector<log_entry>> readEntries(const std::vector<std::string> &names,
                                                     const snapshot *taken);
    std::optional<base::error> readAll(storage_id fresh);
    void removeTemporaryFiles(const std::vector<std::string> &names);
    std::optional<base::error> writeTemporaryFile(const std::string &name,
                                                  const std::string &bytes);
    std::optional<base::error> writeProbeFile();
    std::optional<base::error> replaceFile(const std::string &name, const std::string &bytes);
    std::optional<base::error> recordFailure(std::optional<base::error> failure);

    file_set m_files;
    internal::log_segments m_segments;
    std::shared_ptr<const recovered_storage> m_recovered;
    std::shared_ptr<const base::error> m_failure;
};

} // namespace lycheeshunt::replication
