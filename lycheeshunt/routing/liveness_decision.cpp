#include "lycheeshunt/routing/liveness_decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::routing {

namespace {

using liveness_step = base::step<liveness_state, liveness_action>;

constexpr base::clock_time probeTimeout = base::clock_time::ofMillis(300);
constexpr base::clock_time probeInterval = base::clock_time::ofMillis(400);
constexpr std::uint32_t missesToSuspect = 3;
constexpr std::uint32_t answersToTrust = 2;

using agent_row = std::map<base::node_id, agent_liveness>::iterator;

void replaceRow(liveness_state &state, const agent_liveness &next)
{
    const base::node_id node = next.agent.node;
    state.agents.erase(node);
    state.agents.emplace(node, next);
}

agent_liveness withMisses(const agent_liveness &row, std::uint32_t misses)
{
    return agent_liveness {row.agent,
                           row.probedAt,
                           row.number,
                           false,
                           misses,
                           0,
                           row.suspected || misses >= missesToSuspect};
}

// Keeps the rows of agents whose incarnation and address are unchanged; any other agent starts
// without suspicion.
void handleAgents(liveness_state &state, const agents_changed &changed)
{
    std::map<base::node_id, agent_liveness> next;
    for (const target &agent : changed.agents) {
        const auto existing = state.agents.find(agent.node);
        const bool isSame = existing != state.agents.end()
            && existing->second.agent.incarnation == agent.incarnation
            && existing->second.agent.packets == agent.packets;
        next.emplace(agent.node, isSame ? existing->second : agent_liveness {agent, {}});
    }
    state.agents = std::move(next);
}

void handleAnswer(liveness_state &state, const probe_answered &answer)
{
    for (agent_row it = state.agents.begin(); it != state.agents.end(); ++it) {
        const agent_liveness row = it->second;
        if (!row.isAnswerPending || row.number != answer.number
            || row.agent.incarnation != answer.incarnation)
            continue;
        const std::uint32_t answers = row.answers + 1;
        replaceRow(state,
                   agent_liveness {row.agent, row.probedAt, row.number, false, 0, answers,
                                   row.suspected && answers < answersToTrust});
        return;
    }
}

void handleUnreachable(liveness_state &state, const agent_unreachable &report)
{
    for (agent_row it = state.agents.begin(); it != state.agents.end(); ++it) {
        if (it->second.agent.packets == report.packets) {
            replaceRow(state, withMisses(it->second, missesToSuspect));
            return;
        }
    }
}

void expireProbes(liveness_state &state, base::clock_time now)
{
    std::vector<agent_liveness> overdue;
    for (agent_row it = state.agents.begin(); it != state.agents.end(); ++it) {
        if (it->second.isAnswerPending && now - it->second.probedAt >= probeTimeout)
            overdue.push_back(it->second);
    }
    for (const agent_liveness &row : overdue)
        replaceRow(state, withMisses(row, row.misses + 1));
}

void sendProbe(liveness_state &state, const agent_liveness &row, base::clock_time now,
               std::vector<liveness_action> &actions)
{
    ++state.lastNumber;
    replaceRow(state,
               agent_liveness {row.agent, now, state.lastNumber, true, row.misses, row.answers,
                               row.suspected});
    actions.emplace_back(send_probe {row.agent, state.lastNumber});
}

void sendDueProbes(liveness_state &state, base::clock_time now,
                   std::vector<liveness_action> &actions)
{
    std::size_t examined = 0;
    std::size_t sent = 0;
    while (examined < state.agents.size() && sent < probesPerTick) {
        agent_row next = state.agents.upper_bound(state.cursor);
        if (next == state.agents.end())
            next = state.agents.begin();
        const agent_liveness row = next->second;
        state.cursor = row.agent.node;
        ++examined;
        const bool due = row.number == 0 || now - row.probedAt >= probeInterval;
        if (row.isAnswerPending || !due)
            continue;
        sendProbe(state, row, now, actions);
        ++sent;
    }
}

void updateBypass(liveness_state &state, std::vector<liveness_action> &actions)
{
    bypassed_agents next;
    for (agent_row it = state.agents.begin(); it != state.agents.end(); ++it) {
        if (it->second.suspected)
            next.insert(it->first);
    }
    if (next.size() * 2 > state.agents.size())
        next.clear();
    if (next == state.bypassed)
        return;
    state.bypassed = next;
    actions.emplace_back(set_bypass {std::move(next)});
}

} // namespace

liveness_step decide(liveness_state state, const liveness_message &message, base::clock_time now)
{
    std::vector<liveness_action> actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(base::overloaded {
                       [&](const agents_changed &changed) { handleAgents(state, changed); },
                       [&](const probe_answered &answer) { handleAnswer(state, answer); },
                       [&](const agent_unreachable &report) { handleUnreachable(state, report); },
                       [&](const liveness_tick &) {
                           expireProbes(state, now);
                           sendDueProbes(state, now, actions);
                       },
                   },
                   message);
        updateBypass(state, actions);
    });
    return liveness_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::routing
