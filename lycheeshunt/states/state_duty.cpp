#include "lycheeshunt/states/state_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/states/decision.h"

namespace lycheeshunt::states {

namespace {

constexpr std::size_t inboxCapacity = 1024;

} // namespace

state_duty::state_duty(action_sink sink)
    : m_sink(std::move(sink)),
      m_duty(inboxCapacity,
             [this](const state_message &message, base::clock_time) { handle(message); })
{
}

void state_duty::noteRequest(const state_message &message)
{
    const base::clock_time now = base::clock_time::steady();
    if (const submit_state *submitted = std::get_if<submit_state>(&message)) {
        base::logEvent("states", "submitted",
                       {{"request", std::to_string(submitted->request.value())},
                        {"version", std::to_string(submitted->state->version)},
                        {"routes", std::to_string(submitted->state->routes.size())}});
        m_requestedAt.emplace(submitted->request, now);
    } else if (const get_state *read = std::get_if<get_state>(&message))
        m_requestedAt.emplace(read->request, now);
}

void state_duty::noteAnswer(base::request_id request)
{
    const auto requested = m_requestedAt.find(request);
    if (requested == m_requestedAt.end())
        return;
    m_answers.record(base::clock_time::steady() - requested->second);
    m_requestedAt.erase(requested);
}

void state_duty::handle(const state_message &message)
{
    noteRequest(message);
    base::step<states_state, state_action> next = decide(std::move(m_state), message);
    m_state = std::move(next.state);
    base::reportFault("states", next.fault);
    for (const state_action &action : next.actions) {
        if (const state_answer *answer = std::get_if<state_answer>(&action))
            noteAnswer(answer->request);
        if (!m_sink(action))
            rejectUndelivered(action);
    }
}

void state_duty::rejectUndelivered(const state_action &action)
{
    const base::error busy {base::error_code::tooBusy, "replication"};
    if (const propose_state *proposed = std::get_if<propose_state>(&action))
        handle(state_proposal_rejected {proposed->token, busy});
    else if (const confirm_read *read = std::get_if<confirm_read>(&action))
        handle(read_outcome {read->request, busy});
}

} // namespace lycheeshunt::states
