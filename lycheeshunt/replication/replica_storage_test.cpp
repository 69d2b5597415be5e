#include "lycheeshunt/replication/replica_storage.h"

#include "lycheeshunt/replication/codec.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

namespace {

log_entry entryOf(std::uint64_t index, std::uint64_t term = 1)
{
    return log_entry {base::generation(index), term, entry_kind::ticket, base::clock_time(),
                      "ticket " + std::to_string(index)};
}

base::result<replica_storage> openFiles(const memory_files &files)
{
    return replica_storage::open(files, storage_id(77));
}

const memory_files &filesOf(const replica_storage &storage)
{
    return std::get<memory_files>(storage.files());
}

constexpr std::uint64_t snapshotIndex = 4;

// Writes a fixed series up to the first failure. Sets the last entry and term that were
// acknowledged.
void writeSeries(replica_storage &storage, std::uint64_t &lastEntry, std::uint64_t &lastTerm)
{
    const replica_id self {base::node_id(1), storage_id(77)};
    for (std::uint64_t index = 1; index <= 8; ++index) {
        if (storage.persist(hard_state {index, self}))
            return;
        lastTerm = index;
        if (storage.persist(persist_entries {{entryOf(index, index)}}))
            return;
        lastEntry = index;
        const bool isDue = index == snapshotIndex;
        const persist_snapshot taken {std::make_shared<const snapshot>(snapshot {
            base::generation(snapshotIndex), snapshotIndex, {}, encodeEntries({entryOf(1, 1)})})};
        if (isDue && storage.persist(taken))
            return;
    }
}

std::uint64_t stepsOfSeries()
{
    base::result<replica_storage> opened = openFiles(memory_files());
    replica_storage storage = base::takeValue(std::move(opened));
    std::uint64_t ignored = 0;
    writeSeries(storage, ignored, ignored);
    return filesOf(storage).steps();
}

std::uint64_t lastIndexOf(const recovered_storage &recovered)
{
    if (!recovered.entries.empty())
        return recovered.entries.back().index.value();
    return recovered.snapshot ? recovered.snapshot->index.value() : 0;
}

memory_files filesWithThreeEntries()
{
    base::result<replica_storage> opened = openFiles(memory_files());
    replica_storage storage = base::takeValue(std::move(opened));
    storage.persist(hard_state {1, {}});
    for (std::uint64_t index = 1; index <= 3; ++index)
        storage.persist(persist_entries {{entryOf(index)}});
    return filesOf(storage).afterCrash(crash_loss::nothing);
}

const std::string segmentName = "log-00000000000000000001";

std::size_t recordSize()
{
    return 24 + encodeEntry(entryOf(1)).size();
}

} // namespace

TEST_GROUP(replica_storage) {};

TEST(replica_storage, syncedDataSurvivesACrashAtEveryStep)
{
    const std::uint64_t steps = stepsOfSeries();
    CHECK(steps > 50);
    for (std::uint64_t step = 1; step <= steps; ++step) {
        for (const crash_loss loss :
             {crash_loss::nothing, crash_loss::unsyncedHalf, crash_loss::allUnsynced}) {
            memory_files files;
            files.failAtStep(step, base::error_code::storageFailed);
            base::result<replica_storage> opened = openFiles(files);
            std::uint64_t lastEntry = 0;
            std::uint64_t lastTerm = 0;
            if (!base::isOk(opened))
                continue;
            replica_storage storage = base::takeValue(std::move(opened));
            writeSeries(storage, lastEntry, lastTerm);
            const base::result<replica_storage> again
                = openFiles(filesOf(storage).afterCrash(loss));
            CHECK(base::isOk(again));
            const recovered_storage &recovered = base::valueOf(again).recovered();
            CHECK(recovered.storage == storage_id(77));
            CHECK(recovered.hard.term >= lastTerm);
            CHECK(lastIndexOf(recovered) >= lastEntry);
            CHECK(lastIndexOf(recovered) <= lastEntry + 1);
        }
    }
}

// Guards against the loss of entries and votes that were written but not synced when the write
// failed: after the folder was opened again, the replica acknowledges what it holds.
TEST(replica_storage, whatAReopenedFolderHoldsSurvivesAPowerLoss)
{
    const std::uint64_t steps = stepsOfSeries();
    for (std::uint64_t step = 1; step <= steps; ++step) {
        memory_files files;
        base::result<replica_storage> opened = openFiles(files);
        if (step <= files.steps())
            continue;
        replica_storage storage = base::takeValue(std::move(opened));
        files.failAtStep(step, base::error_code::diskFull);
        std::uint64_t ignored = 0;
        writeSeries(storage, ignored, ignored);
        const base::result<replica_storage> reopened = openFiles(files);
        const recovered_storage &held = base::valueOf(reopened).recovered();
        const base::result<replica_storage> afterLoss
            = openFiles(files.afterCrash(crash_loss::allUnsynced));
        CHECK(base::isOk(afterLoss));
        const recovered_storage &left = base::valueOf(afterLoss).recovered();
        CHECK_EQUAL(lastIndexOf(held), lastIndexOf(left));
        CHECK(held.hard == left.hard);
    }
}

// As after a process was killed between a write and its sync.
TEST(replica_storage, unsyncedEntriesThatAreReadSurviveAPowerLoss)
{
    memory_files files = filesWithThreeEntries();
    const std::string bytes = base::valueOf(files.read(segmentName));
    files.truncate(segmentName, 2 * recordSize());
    files.sync(segmentName);
    files.append(segmentName, bytes.substr(2 * recordSize()));
    const base::result<replica_storage> opened = openFiles(files);
    LONGS_EQUAL(3, lastIndexOf(base::valueOf(opened).recovered()));
    const base::result<replica_storage> afterLoss
        = openFiles(files.afterCrash(crash_loss::allUnsynced));
    LONGS_EQUAL(3, lastIndexOf(base::valueOf(afterLoss).recovered()));
}

// Guards against a disk that stays full for good: what was written of a snapshot that did not fit
// takes all the room that was left.
TEST(replica_storage, snapshotThatDoesNotFitLeavesTheRoomToOthers)
{
    constexpr std::size_t room = 100'000;
    memory_files files = filesWithThreeEntries();
    base::result<replica_storage> opened = openFiles(files);
    replica_storage storage = base::takeValue(std::move(opened));
    files.setCapacity(files.usedBytes() + room);
    const persist_snapshot taken {std::make_shared<const snapshot>(
        snapshot {base::generation(3), 1, {}, std::string(2 * room, 'x')})};
    CHECK(storage.persist(taken)->code == base::error_code::diskFull);
    base::result<replica_storage> reopened = openFiles(files);
    replica_storage again = base::takeValue(std::move(reopened));
    CHECK(!again.probe());
    CHECK(!again.persist(persist_entries {{entryOf(4)}}));
}

// As above, if the process was killed in the middle of the write.
TEST(replica_storage, temporaryFilesOfAnEarlierProcessAreRemoved)
{
    memory_files files = filesWithThreeEntries();
    const std::size_t used = files.usedBytes();
    files.append("snapshot.new", "part of a snapshot");
    CHECK(base::isOk(openFiles(files)));
    LONGS_EQUAL(used, files.usedBytes());
}

// The probe writes the vote again. A power loss in the middle of it must not lose the vote.
TEST(replica_storage, probeLosesNothingAtAnyStep)
{
    for (std::uint64_t step = 1; step <= 12; ++step) {
        for (const crash_loss loss :
             {crash_loss::nothing, crash_loss::unsyncedHalf, crash_loss::allUnsynced}) {
            memory_files files = filesWithThreeEntries();
            base::result<replica_storage> opened = openFiles(files);
            replica_storage storage = base::takeValue(std::move(opened));
            files.failAtStep(files.steps() + step, base::error_code::diskFull);
            CHECK_EQUAL(step <= 11, storage.probe().has_value());
            const base::result<replica_storage> again
                = openFiles(filesOf(storage).afterCrash(loss));
            CHECK_EQUAL(1U, base::valueOf(again).recovered().hard.term);
            LONGS_EQUAL(3, lastIndexOf(base::valueOf(again).recovered()));
        }
    }
}

TEST(replica_storage, tornTailIsTruncatedAtEveryLength)
{
    const memory_files files = filesWithThreeEntries();
    const std::size_t length = base::valueOf(files.read(segmentName)).size();
    LONGS_EQUAL(3 * recordSize(), length);
    for (std::size_t kept = 0; kept <= length; ++kept) {
        memory_files torn = files.afterCrash(crash_loss::nothing);
        torn.truncate(segmentName, kept);
        const base::result<replica_storage> opened = openFiles(torn);
        CHECK(base::isOk(opened));
        LONGS_EQUAL(kept / recordSize(), lastIndexOf(base::valueOf(opened).recovered()));
        LONGS_EQUAL(kept % recordSize(), base::valueOf(opened).recovered().tornBytes);
    }
}

TEST(replica_storage, anyCorruptedByteIsRefusedAndNoRecordIsSkipped)
{
    const memory_files files = filesWithThreeEntries();
    const std::size_t length = base::valueOf(files.read(segmentName)).size();
    for (std::size_t offset = 0; offset < length; ++offset) {
        memory_files damaged = files.afterCrash(crash_loss::nothing);
        damaged.flipByte(segmentName, offset);
        const base::result<replica_storage> opened = openFiles(damaged);
        CHECK(!base::isOk(opened));
        CHECK(base::errorOf(opened)->code == base::error_code::logCorrupt);
    }
}

TEST(replica_storage, corruptedIdentityOrVoteIsRefused)
{
    for (const char *name : {"identity", "vote"}) {
        memory_files damaged = filesWithThreeEntries();
        damaged.flipByte(name, base::valueOf(damaged.read(name)).size() - 1);
        CHECK(!base::isOk(openFiles(damaged)));
    }
    memory_files withoutIdentity = filesWithThreeEntries();
    withoutIdentity.remove("identity");
    CHECK(!base::isOk(openFiles(withoutIdentity)));
}

TEST(replica_storage, unwrittenSectorsAreTreatedAsATornTail)
{
    memory_files files = filesWithThreeEntries();
    files.append(segmentName, std::string(4096, '\0'));
    const base::result<replica_storage> opened = openFiles(files);
    CHECK(base::isOk(opened));
    LONGS_EQUAL(3, lastIndexOf(base::valueOf(opened).recovered()));
}

TEST(replica_storage, truncationAndLaterEntriesArePersistent)
{
    base::result<replica_storage> opened = openFiles(filesWithThreeEntries());
    replica_storage storage = base::takeValue(std::move(opened));
    storage.persist(hard_state {2, {}});
    storage.persist(truncate_log {base::generation(2)});
    storage.persist(persist_entries {{entryOf(2, 2), entryOf(3, 2)}});
    const base::result<replica_storage> again
        = openFiles(filesOf(storage).afterCrash(crash_loss::allUnsynced));
    const std::vector<log_entry> expected {entryOf(1), entryOf(2, 2), entryOf(3, 2)};
    CHECK(base::valueOf(again).recovered().entries == expected);
}

// Guards against a VM that never starts again: the first entry of a segment is torn, and the folder
// gets a snapshot of later entries. The next entry must not go into the segment of the torn one.
TEST(replica_storage, segmentWithoutEntriesIsRemovedUnderALaterSnapshot)
{
    memory_files files;
    const std::uint64_t laterIndex = 50;
    const persist_snapshot installed {
        std::make_shared<const snapshot>(snapshot {base::generation(laterIndex), 1, {}, ""}), true};
    for (const std::uint64_t failing : {1, 6}) {
        base::result<replica_storage> opened = openFiles(files);
        replica_storage storage = base::takeValue(std::move(opened));
        files.failAtStep(files.steps() + failing, base::error_code::diskFull);
        CHECK((failing == 1 ? storage.persist(persist_entries {{entryOf(1)}})
                            : storage.persist(installed))
                  .has_value());
    }
    base::result<replica_storage> reopened = openFiles(files);
    replica_storage storage = base::takeValue(std::move(reopened));
    CHECK(!storage.persist(hard_state {1, {}}));
    CHECK(!storage.persist(persist_entries {{entryOf(laterIndex + 1)}}));
    const base::result<replica_storage> again = openFiles(files);
    CHECK(base::isOk(again));
    LONGS_EQUAL(laterIndex + 1, lastIndexOf(base::valueOf(again).recovered()));
}

TEST(replica_storage, failureIsReturnedByAllLaterCalls)
{
    memory_files files;
    base::result<replica_storage> opened = openFiles(files);
    replica_storage storage = base::takeValue(std::move(opened));
    files.failAtStep(files.steps() + 1, base::error_code::diskFull);
    CHECK(storage.persist(hard_state {1, {}})->code == base::error_code::diskFull);
    CHECK(storage.persist(persist_entries {{entryOf(1)}})->code == base::error_code::diskFull);
}
