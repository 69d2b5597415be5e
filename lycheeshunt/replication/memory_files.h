// The files of one data folder, in memory, with the losses that a crash may bring: what was not
// synced is gone or cut anywhere, and one chosen step can be made to fail. For tests and
// measurements without a disk.
//
//     memory_files files;
//     files.failAtStep(7, base::error_code::diskFull);
//     const memory_files survivor = files.afterCrash(crash_loss::unsyncedHalf);
//
// The same contract as disk_files. Not thread-safe.

#pragma once

#include "lycheeshunt/base/result.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::replication {

// What of the unsynced bytes a crash takes.
enum class crash_loss { nothing, unsyncedHalf, allUnsynced };

class memory_files
{
public:
    base::result<std::vector<std::string>> list() const;
    base::result<std::string> read(const std::string &name) const;
    std::optional<base::error> append(const std::string &name, std::string_view bytes);
    std::optional<base::error> sync(const std::string &name);
    std::optional<base::error> truncate(const std::string &name, std::uint64_t size);
    std::optional<base::error> rename(const std::string &from, const std::string &to);
    std::optional<base::error> remove(const std::string &name);
    std::optional<base::error> syncFolder();

    // The step with this number, counted from 1, fails: an append after half of its bytes.
    void failAtStep(std::uint64_t step, base::error_code code);
    std::uint64_t steps() const { return m_steps; }

    memory_files afterCrash(crash_loss loss) const;

    // Changes one stored byte, as a failing disk would.
    void flipByte(const std::string &name, std::size_t offset);

private:
    struct content
    {
        std::string bytes;
        // What is on the disk for certain.
        std::string synced;
    };

    using folder = std::map<std::string, std::shared_ptr<content>>;

    bool isFailing();
    std::optional<base::error> outcome();

    folder m_files;
    folder m_syncedFolder;
    std::uint64_t m_steps = 0;
    std::uint64_t m_failAt = 0;
    base::error_code m_failure = base::error_code::storageFailed;
};

} // namespace lycheeshunt::replication
