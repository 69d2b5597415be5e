#include "lycheeshunt/states/state_duty.h"

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

void state_duty::handle(const state_message &message)
{
    base::step<states_state, state_action> next = decide(std::move(m_state), message);
    m_state = std::move(next.state);
    for (const state_action &action : next.actions) {
        if (!m_sink(action))
            giveUp(action);
    }
}

void state_duty::giveUp(const state_action &action)
{
    const base::error busy {base::error_code::tooBusy, "replication"};
    if (const propose_state *proposed = std::get_if<propose_state>(&action))
        handle(state_withdrawn {proposed->token, busy});
    else if (const confirm_read *read = std::get_if<confirm_read>(&action))
        handle(read_settled {read->request, busy});
}

} // namespace lycheeshunt::states
