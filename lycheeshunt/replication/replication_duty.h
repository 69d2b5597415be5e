// The replication thread of a control process: runs the decision, carries out its writes and sends,
// and notifies the other duties of the outcome of their proposals.
//
//     replication_duty duty(std::move(state), std::move(storage), hooks);
//     duty.inbox().tryPush(propose_entries {{proposal {...}}});
//
// Duties must submit proposals with tryPush. This thread blocks while it pushes notices to those
// duties, so a blocking push in the other direction could deadlock. Peer messages use push.

#pragma once

#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/metrics/span_histogram.h"
#include "lycheeshunt/replication/decision.h"
#include "lycheeshunt/replication/replica_storage.h"
#include "lycheeshunt/replication/replication_notice.h"

#include <functional>
#include <thread>

namespace lycheeshunt::replication {

// Callbacks, all called on the replication thread.
struct replication_hooks
{
    const std::function<void(const peer_envelope &)> send;
    const std::function<void(const send_to_address &)> sendToAddress;
    const std::function<void(const set_peer_address &)> setAddress;
    const std::function<void(const replication_notice &)> notify;
    // Returns a compacted list of entries that restores the same state as the given ones, which
    // start with the entries of the last snapshot.
    const std::function<std::vector<log_entry>(const std::vector<log_entry> &)> compact;
    // Opens the data folder again after a write has failed.
    const std::function<base::result<replica_storage>()> reopen;
};

class replication_duty
{
public:
    // If the storage holds a snapshot, the first notice is the state_restored of it.
    replication_duty(replica_state state, replica_storage storage, replication_hooks hooks);
    ~replication_duty();

    replication_duty(const replication_duty &) = delete;
    replication_duty &operator=(const replication_duty &) = delete;

    base::ring<replica_message> &inbox() { return m_inbox; }
    void stop();
    // Thread-safe.
    metrics::sample storageWrites() const { return m_writes.current(); }

private:
    void run();
    // Merges consecutive proposals in the inbox into one step, hence into one sync.
    void handle(const replica_message &message);
    void step(const replica_message &message);
    // Stops at the first action that fails.
    std::optional<base::error> performAll(const std::vector<replica_action> &actions);
    std::optional<base::error> perform(const replica_action &action);
    std::optional<base::error> install(const persist_snapshot &action);
    void publish(const replication_notice &notice) const { m_hooks.notify(notice); }
    void restoreFrom(const snapshot &taken);
    void compactIfDue();
    // After a failed write, reopens the storage periodically. Once it takes a write, the replica
    // restarts from the contents of the disk.
    void recoverIfDue(base::clock_time now);

    replica_state m_state;
    replica_storage m_storage;
    const replication_hooks m_hooks;
    metrics::span_histogram m_writes {"storage_write_ms",
                                      "Time that entries took to be written and synced."};
    std::uint64_t m_bytesSinceSnapshot = 0;
    std::uint32_t m_recoveries = 0;
    base::clock_time m_nextRecovery;
    // After a failed compaction, the commit index at which it is attempted again.
    base::generation m_nextSnapshot;
    base::ring<replica_message> m_inbox;
    std::thread m_thread;
};

} // namespace lycheeshunt::replication
