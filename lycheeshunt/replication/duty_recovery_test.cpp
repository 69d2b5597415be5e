// Recovery of the replication thread after a failed write: once the disk accepts writes again, the
// replica restarts without a restart of the process, and not before.

#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/decision.h"
#include "lycheeshunt/replication/replication_duty.h"

#include <atomic>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

namespace {

constexpr std::size_t noticeCapacity = 4096;

} // namespace

TEST_GROUP(duty_recovery)
{
    base::ring<replication_notice> notices {noticeCapacity};
    std::atomic<bool> isDiskWritable = false;
    std::unique_ptr<replication_duty> duty;

    void start(memory_files files)
    {
        replica_storage storage
            = base::takeValue(replica_storage::open(std::move(files), storage_id(7)));
        replica_state state
            = startReplica(std::make_shared<const replica_settings>(replica_settings {
                               "control-1", {"control-1"}, base::endpoint {1, 1}}),
                           storage.recovered(), 1, base::clock_time::steady());
        storage.releaseRecovered();
        duty = std::make_unique<replication_duty>(
            std::move(state), std::move(storage),
            replication_hooks {[](const peer_envelope &) {}, [](const send_to_address &) {},
                               [](const set_peer_address &) {},
                               [this](const replication_notice &notice) { notices.push(notice); },
                               [](const std::vector<log_entry> &entries) { return entries; },
                               [this]() -> base::result<replica_storage> {
                                   if (!isDiskWritable)
                                       return base::error {base::error_code::diskFull, "still"};
                                   return replica_storage::open(memory_files(), storage_id(8));
                               }});
    }

    template <typename notice_type>
    notice_type await()
    {
        while (true) {
            const std::optional<replication_notice> notice = notices.pop();
            if (const notice_type *found = std::get_if<notice_type>(&*notice))
                return *found;
        }
    }

    void awaitLeadership(bool isLeader)
    {
        while (await<leadership_changed>().leadership.isLeader != isLeader) { }
    }

    // Outcome of the last proposal: committed, refused, or unknown because leadership has ended.
    replication_notice awaitOutcome()
    {
        while (true) {
            const std::optional<replication_notice> notice = notices.pop();
            const commit_entries *committedEntries = std::get_if<commit_entries>(&*notice);
            const bool isProposal = committedEntries != nullptr
                && committedEntries->entries.back().kind == entry_kind::state;
            const leadership_changed *changed = std::get_if<leadership_changed>(&*notice);
            const bool hasEnded = changed != nullptr && !changed->leadership.isLeader;
            if (isProposal || hasEnded || std::holds_alternative<proposal_refused>(*notice))
                return *notice;
        }
    }

    void propose(const std::string &payload)
    {
        duty->inbox().push(propose_entries {{proposal {entry_kind::state, payload, 1}}});
    }

    void teardown() override
    {
        if (duty)
            duty->stop();
    }
};

TEST(duty_recovery, vmRecoversInPlaceAfterAFullDisk)
{
    memory_files files;
    // Late enough for the group to be bootstrapped and some proposals to be committed.
    const std::uint64_t lateStep = 30;
    files.failAtStep(lateStep, base::error_code::diskFull);
    start(files);
    awaitLeadership(true);
    std::size_t committed = 0;
    bool isLeading = true;
    while (isLeading) {
        propose("state " + std::to_string(committed));
        isLeading = std::holds_alternative<commit_entries>(awaitOutcome());
        committed += isLeading ? 1 : 0;
        CHECK(committed < lateStep);
    }
    CHECK(committed > 0);
    propose("while the disk is full");
    const replication_notice outcome = awaitOutcome();
    const proposal_refused *refused = std::get_if<proposal_refused>(&outcome);
    CHECK(refused != nullptr && refused->reason.code == base::error_code::diskFull);
    isDiskWritable = true;
    // The reopened folder is empty, like that of a VM whose disk was replaced.
    awaitLeadership(true);
    propose("after");
    CHECK(std::holds_alternative<commit_entries>(awaitOutcome()));
}

TEST_GROUP(full_disk)
{
    enum class event { reopened, sent };

    memory_files disk;
    // The attempts to reopen the disk, and the peer messages after the first one.
    base::ring<event> events {noticeCapacity};
    base::ring<replication_notice> notices {noticeCapacity};
    std::atomic<std::uint32_t> compactions = 0;
    // Accessed by the duty's thread only.
    bool isReopened = false;
    std::unique_ptr<replication_duty> duty;

    // One of two VMs, whose group is not bootstrapped.
    void start()
    {
        replica_storage storage = base::takeValue(replica_storage::open(disk, storage_id(7)));
        replica_state state
            = startReplica(std::make_shared<const replica_settings>(replica_settings {
                               "control-1", {"control-1", "control-2"}, base::endpoint {1, 1}}),
                           storage.recovered(), 1, base::clock_time::steady());
        storage.releaseRecovered();
        duty = std::make_unique<replication_duty>(
            std::move(state), std::move(storage),
            replication_hooks {[this](const peer_envelope &) {
                                   if (isReopened)
                                       events.push(event::sent);
                               },
                               [](const send_to_address &) {}, [](const set_peer_address &) {},
                               [this](const replication_notice &notice) { notices.push(notice); },
                               [](const std::vector<log_entry> &entries) { return entries; },
                               [this]() {
                                   isReopened = true;
                                   events.push(event::reopened);
                                   return replica_storage::open(disk, storage_id(8));
                               }});
    }

    void receive(const peer_message &message)
    {
        const replica_id self {base::nodeIdOf("control-1"), storage_id(7)};
        const replica_id other {base::nodeIdOf("control-2"), storage_id(9)};
        duty->inbox().push(peer_envelope {other, {self.node, storage_id()}, presence {true}});
        duty->inbox().push(peer_envelope {other, self, message});
    }

    // The next notice of this type; fails after 5 s without any notice.
    template <typename notice_type>
    notice_type await()
    {
        while (true) {
            const std::optional<replication_notice> notice
                = notices.popFor(base::clock_time::ofSeconds(5));
            CHECK(notice.has_value());
            if (const notice_type *found = std::get_if<notice_type>(&*notice))
                return *found;
        }
    }

    // Receives a snapshot whose write fails after the rename, at the sync of the folder.
    void failToWriteSnapshot()
    {
        const std::string entries = encodeEntries(
            {log_entry {base::generation(3), 1, entry_kind::ticket, base::clock_time(), "kept"}});
        const configuration members {{configuration_member {"control-1", storage_id(7), true},
                                      configuration_member {"control-2", storage_id(9), true}}};
        // Six operations write the term, and six the snapshot.
        disk.failAtStep(disk.steps() + 12, base::error_code::diskFull);
        receive(snapshot_piece {1, 1, base::generation(5), 1, members, entries.size(), 0, entries});
        CHECK(events.pop() == event::reopened);
    }

    void teardown() override
    {
        if (duty)
            duty->stop();
    }
};

// Opening a folder on a full disk again succeeds, because it only reads. A VM that takes this for
// recovery votes and answers for a moment, until its next write fails, over and over.
TEST(full_disk, vmTakesNoPartUntilTheDiskTakesAWrite)
{
    start();
    disk.setFull(true);
    // The VM writes its term, because another one requests a vote.
    receive(vote_request {5, false, {}, 0});
    for (int attempt = 0; attempt < 3; ++attempt)
        CHECK(events.pop() == event::reopened);
    disk.setFull(false);
    while (events.pop() == event::reopened) { }
}

// The disk is full between the commit that makes a snapshot due and the snapshot. A failed VM must
// not compact its log at every tick, as that takes the time that its recovery needs.
TEST(full_disk, failedVmDoesNotCompactItsLog)
{
    replica_storage storage = base::takeValue(replica_storage::open(disk, storage_id(7)));
    const replica_bounds bounds {4096, 2000, 8, 1000, 64, 16, 1};
    replica_state state = startReplica(std::make_shared<const replica_settings>(replica_settings {
                                           "control-1", {"control-1"}, {}, {}, bounds}),
                                       storage.recovered(), 1, base::clock_time::steady());
    storage.releaseRecovered();
    duty = std::make_unique<replication_duty>(
        std::move(state), std::move(storage),
        replication_hooks {
            [](const peer_envelope &) {}, [](const send_to_address &) {},
            [](const set_peer_address &) {},
            [this](const replication_notice &notice) {
                notices.push(notice);
                const commit_entries *committed = std::get_if<commit_entries>(&notice);
                if (committed == nullptr || committed->entries.back().payload != "due")
                    return;
                // The next write fails before a tick takes the snapshot.
                disk.setFull(true);
                duty->inbox().tryPush(propose_entries {{proposal {}}});
            },
            [&](const std::vector<log_entry> &entries) {
                ++compactions;
                return entries;
            },
            [this]() {
                events.push(event::reopened);
                return replica_storage::open(disk, storage_id(8));
            }});
    while (!await<leadership_changed>().leadership.isLeader) { }
    duty->inbox().push(propose_entries {{proposal {entry_kind::ticket, "due"}}});
    for (int attempt = 0; attempt < 3; ++attempt)
        CHECK(events.pop() == event::reopened);
    duty->stop();
    // That of the first entry, and one if a tick came before the write that fails.
    CHECK(compactions <= 2);
}

// Otherwise the VM goes on after a snapshot whose entries its other duties have never received.
TEST(full_disk, snapshotIsRestoredAlsoIfItsWriteFailsAfterTheRename)
{
    start();
    failToWriteSnapshot();
    LONGS_EQUAL(1, await<state_restored>().entries.size());
}

// The notice of a change of members is among the actions that a failed write leaves out. Without
// one, a control VM tells no node where the others are.
TEST(full_disk, membersOnTheReopenedDiskAreNotified)
{
    start();
    failToWriteSnapshot();
    LONGS_EQUAL(2, await<members_changed>().configuration.members.size());
}
