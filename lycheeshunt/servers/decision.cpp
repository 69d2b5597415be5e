#include "lycheeshunt/servers/decision.h"

#include "lycheeshunt/base/overloaded.h"

#include <algorithm>

namespace lycheeshunt::servers {

namespace {

using action_list = std::vector<server_action>;

// Servers announce themselves about every 1.2 s; three in a row are missing.
constexpr base::clock_time silentAfter = base::clock_time::ofMillis(4000);
// Two announcements and a little.
constexpr base::clock_time recalledFor = base::clock_time::ofMillis(2600);
// A server that starts together with its agent is not further than this in its announcements.
constexpr std::uint64_t earlySequence = 3;

// A late announcement of an earlier life must not undo what a later one said. The clocks of two
// lives may disagree, so one that goes on while the other is silent is believed in the end.
bool isLate(const servers_state &state, const server_announcement &said, base::clock_time now)
{
    if (!state.current || now - state.heardAt >= silentAfter)
        return false;
    if (said.isSameLifeAs(*state.current))
        return said.sequence < state.current->sequence;
    return said.startedAt < state.current->startedAt;
}

void tell(servers_state &state, action_list &actions)
{
    if (!state.current)
        return;
    const server_status standing {state.current->service,
                                  state.life,
                                  !state.isOver && !state.isAgentStopping,
                                  state.current->slots,
                                  state.startedBeforeAgent,
                                  state.isServerStopping};
    if (state.told && *state.told == standing)
        return;
    state.told = std::make_shared<const server_status>(standing);
    actions.emplace_back(standing);
}

void startLife(servers_state &state, const server_announcement &said)
{
    state.startedBeforeAgent = !state.current && said.sequence > earlySequence;
    const bool isFirst = !state.current && (!state.told || state.told->isAccepting);
    state.isRecalled = false;
    state.isOver = false;
    if (!isFirst)
        state.life = base::incarnation(state.life.value() + 1);
}

void announce(servers_state &state, const server_announced &message, base::clock_time now,
              action_list &actions)
{
    const server_announcement &said = message.announcement;
    const bool contradicts = state.current && said.isSameLifeAs(*state.current)
        && said.service != state.current->service;
    if (!contradicts && !isLate(state, said, now)) {
        const bool isOtherLife = !state.current || !said.isSameLifeAs(*state.current);
        // One that was only silent is another life too: a life that has drained never serves again.
        const bool isBack
            = !isOtherLife && state.isOver && !said.isDraining && !state.current->isDraining;
        if (isOtherLife || isBack)
            startLife(state, said);
        const bool drains = said.isDraining
            || (state.current && state.current->isSameLifeAs(said) && state.current->isDraining);
        state.current = std::make_shared<const server_announcement>(server_announcement {
            said.identity, said.startedAt, said.sequence, said.service, drains, said.slots});
        state.isOver = state.isOver || drains;
        state.isServerStopping = false;
        state.heardAt = now;
        tell(state, actions);
    }
    actions.emplace_back(confirm_announcement {message.request});
}

void leave(servers_state &state, const server_stopping &message, action_list &actions)
{
    if (state.current && state.current->identity == message.identity) {
        state.isOver = true;
        state.isServerStopping = true;
        tell(state, actions);
    }
    actions.emplace_back(confirm_announcement {message.request});
}

// Until the server speaks itself, what was last known of it holds: an agent that was restarted
// beside a serving server need not wait for its next announcement.
void recall(servers_state &state, const server_restored &message, base::clock_time now,
            action_list &actions)
{
    if (state.current || state.told || state.isAgentStopping)
        return;
    state.life = std::max(state.life, base::incarnation(message.life.value() + 1));
    state.recalledAt = now;
    state.isRecalled = true;
    state.told = std::make_shared<const server_status>(
        server_status {message.service, state.life, true, message.slots, true});
    actions.emplace_back(*state.told);
}

// A recalled server that says nothing is not there any more.
void forgetRecalled(servers_state &state, action_list &actions)
{
    state.isRecalled = false;
    state.told = std::make_shared<const server_status>(
        server_status {state.told->service, state.told->life, false, state.told->slots, true});
    actions.emplace_back(*state.told);
}

void check(servers_state &state, base::clock_time now, action_list &actions)
{
    if (state.isRecalled && now - state.recalledAt >= recalledFor)
        forgetRecalled(state, actions);
    if (!state.current || now - state.heardAt < silentAfter)
        return;
    state.isOver = true;
    tell(state, actions);
}

} // namespace

base::step<servers_state, server_action> decide(servers_state state, const server_message &message,
                                                base::clock_time now)
{
    action_list actions;
    std::visit(base::overloaded {
                   [&](const server_announced &m) { announce(state, m, now, actions); },
                   [&](const server_stopping &m) { leave(state, m, actions); },
                   [&](const server_restored &m) { recall(state, m, now, actions); },
                   [&](const life_taken &taken) {
                       state.life = std::max(state.life, taken.life);
                       tell(state, actions);
                   },
                   [&](const agent_stopping &) {
                       state.isAgentStopping = true;
                       if (state.isRecalled)
                           forgetRecalled(state, actions);
                       tell(state, actions);
                   },
                   [&](const servers_tick &) { check(state, now, actions); },
               },
               message);
    return {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::servers
