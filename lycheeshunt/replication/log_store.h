// The log on disk: one record after another in a file, each with its length and checksum, synced
// before append() returns.
//
//     result<log_store> store = log_store::open(folder);
//     store.append(entry);
//
// A record cut short at the end of the file was never acknowledged and is cut off on opening; a
// record that fails its checksum is logCorrupt, and nothing is skipped. Not thread-safe.

#pragma once

#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/result.h"
#include "lycheeshunt/replication/log_entry.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheeshunt::replication {

class log_store
{
public:
    static base::result<log_store> open(const std::string &folder);

    // What the file held when it was opened, in order.
    const std::vector<log_entry> &recovered() const { return m_recovered; }

    // Returns the error of a failed write or sync; the log must not be used after one.
    std::optional<base::error> append(const log_entry &entry);

private:
    log_store(base::file_descriptor file, std::vector<log_entry> recovered);

    base::file_descriptor m_file;
    std::vector<log_entry> m_recovered;
};

} // namespace lycheeshunt::replication
