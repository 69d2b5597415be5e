// The thread of a control process that manages the desired state.

#pragma once

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/metrics/span_histogram.h"
#include "lycheeshunt/states/state_message.h"
#include "lycheeshunt/states/states_state.h"

#include <map>

namespace lycheeshunt::states {

class state_duty
{
public:
    // Called on the duty's thread for every action. Returns false when a proposal or a read
    // can't be queued now; the requests that wait for it then fail with tooBusy.
    using action_sink = std::function<bool(const state_action &)>;

    explicit state_duty(action_sink sink);

    base::ring<state_message> &inbox() { return m_duty.inbox(); }
    void stop() { m_duty.stop(); }
    // Thread-safe.
    metrics::sample answerTimes() const { return m_answers.current(); }

private:
    void handle(const state_message &message);
    void noteRequest(const state_message &message);
    void noteAnswer(base::request_id request);
    void rejectUndelivered(const state_action &action);

    states_state m_state;
    std::map<base::request_id, base::clock_time> m_requestedAt;
    metrics::span_histogram m_answers {"state_answer_ms",
                                       "From an operator's request to its answer."};
    const action_sink m_sink;
    base::duty<state_message> m_duty;
};

} // namespace lycheeshunt::states
