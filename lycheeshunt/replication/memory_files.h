// The files of one data folder, in memory, for tests and measurements without a disk. A crash can
// be simulated, which loses unsynced data in whole or in part, and a chosen operation can be made
// to fail.
//
//     memory_files files;
//     files.failAtStep(7, base::error_code::diskFull);
//     const memory_files survivor = files.afterCrash(crash_loss::unsyncedHalf);
//
// Copies are the same folder. Same contract as disk_files. Not thread-safe.

#pragma once

#include "lycheeshunt/base/result.h"

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::replication {

// How much of the unsynced data a simulated crash loses.
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

    // Makes the operation with this number, counted from 1, fail. A failing append writes half of
    // its bytes.
    void failAtStep(std::uint64_t step, base::error_code code);
    std::uint64_t steps() const { return m_disk->steps; }

    // Appends that would exceed this many bytes in all files fail with diskFull, and write what
    // there is room for. Thread-safe.
    void setCapacity(std::size_t bytes) { m_disk->capacity = bytes; }
    void setFull(bool isFull) { setCapacity(isFull ? 0 : unlimited); }
    std::size_t usedBytes() const;

    // A folder of its own, with what the crash has left.
    memory_files afterCrash(crash_loss loss) const;

    // Corrupts one stored byte, as a failing disk may.
    void flipByte(const std::string &name, std::size_t offset);

private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    struct content
    {
        std::string bytes;
        // Contents at the last sync, which a crash does not lose.
        std::string synced;
        // Bytes that were to be written by a failed sync, and that later syncs leave out.
        std::size_t lostFrom = 0;
        std::size_t lostTo = 0;
    };

    using folder = std::map<std::string, std::shared_ptr<content>>;

    struct disk
    {
        folder files;
        folder syncedFolder;
        std::uint64_t steps = 0;
        std::uint64_t failAt = 0;
        base::error_code failure = base::error_code::storageFailed;
        std::atomic<std::size_t> capacity = unlimited;
    };

    // Counts one operation; true if it is the one that is to fail.
    bool countStep();
    std::optional<base::error> stepResult();

    std::shared_ptr<disk> m_disk = std::make_shared<disk>();
};

} // namespace lycheeshunt::replication
