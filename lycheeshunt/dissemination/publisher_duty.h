// The dissemination thread of a control process.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/dissemination/dissemination_message.h"
#include "lycheeshunt/dissemination/publisher_state.h"
#include "lycheeshunt/metrics/sample.h"

#include <mutex>
#include <vector>

namespace lycheeshunt::dissemination {

class publisher_duty
{
public:
    // Called on the dissemination thread for every action.
    using action_sink = std::function<void(const dissemination_action &)>;

    explicit publisher_duty(action_sink sink);

    base::ring<dissemination_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }
    // Thread-safe. Counters as of the last second.
    std::vector<metrics::sample> samples() const;

private:
    void handle(const dissemination_message &message, base::clock_time now);
    // Logs and publishes the counts, once a second at most.
    void reportCounts(base::clock_time now);

    publisher_state m_state;
    base::clock_time m_reportedAt;
    mutable std::mutex m_lock;
    publisher_counts m_reported;
    std::size_t m_behind = 0;
    const action_sink m_sink;
    base::duty<dissemination_message> m_duty;
};

} // namespace lycheeshunt::dissemination
