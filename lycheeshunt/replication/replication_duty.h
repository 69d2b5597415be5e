// The replication thread of a control process: turns proposals into log entries, syncs them, and
// hands every committed entry, in order, to the other duties.
//
// Proposals are offered with tryPush: the thread itself pushes committed entries to the duties
// that propose, so neither side may wait for the other at once.

#pragma once

#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/replication/log_entry.h"
#include "lycheeshunt/replication/log_store.h"
#include "lycheeshunt/replication/proposal.h"

#include <functional>
#include <thread>

namespace lycheeshunt::replication {

class replication_duty
{
public:
    using commit_sink = std::function<void(const log_entry &)>;

    // The sink is called on the replication thread, first for every recovered entry.
    replication_duty(log_store store, commit_sink sink);
    ~replication_duty();

    replication_duty(const replication_duty &) = delete;
    replication_duty &operator=(const replication_duty &) = delete;

    base::ring<proposal> &proposals() { return m_proposals; }
    void stop();

private:
    void run();

    log_store m_store;
    const commit_sink m_sink;
    base::ring<proposal> m_proposals;
    std::thread m_thread;
};

} // namespace lycheeshunt::replication
