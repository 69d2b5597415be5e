// The thread of a control process that manages the evacuations of availability zones.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/evacuations/evacuation_message.h"
#include "lycheeshunt/evacuations/evacuations_state.h"
#include "lycheeshunt/metrics/sample.h"

#include <atomic>

namespace lycheeshunt::evacuations {

class evacuation_duty
{
public:
    // Called on the duty's thread for every action. Returns false when a proposal or a read can't
    // be queued now; the order that waits for it then fails with tooBusy.
    using action_sink = std::function<bool(const evacuation_action &)>;

    explicit evacuation_duty(action_sink sink);

    base::ring<evacuation_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }
    // Thread-safe.
    metrics::sample evacuatedZones() const;

private:
    void handle(const evacuation_message &message);
    void rejectUndelivered(const evacuation_action &action);

    evacuations_state m_state;
    std::atomic<std::size_t> m_evacuated = 0;
    const action_sink m_sink;
    base::duty<evacuation_message> m_duty;
};

} // namespace lycheeshunt::evacuations
