#include "lycheeshunt/routing/liveness_decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include <set>

namespace lycheeshunt::routing {

namespace {

using liveness_step = base::step<liveness_state, liveness_action>;

constexpr base::clock_time probeTimeout = base::clock_time::ofMillis(300);
constexpr base::clock_time probeInterval = base::clock_time::ofMillis(400);
constexpr std::uint32_t missesToSuspect = 3;
constexpr std::uint32_t answersToTrust = 2;
// So many agents of one zone that miss a probe in a row, without an answer of the zone in between,
// hardly failed one by one.
constexpr std::size_t silentAgentsToSuspectZone = 4;

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
                           row.availabilityZone,
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
    std::map<std::string, std::size_t> silentByZone;
    for (const probed_agent &probed : changed.agents) {
        const target &agent = probed.agent;
        const auto existing = state.agents.find(agent.node);
        const bool isSame = existing != state.agents.end()
            && existing->second.agent.incarnation == agent.incarnation
            && existing->second.agent.packets == agent.packets
            && existing->second.availabilityZone == probed.availabilityZone;
        next.emplace(agent.node,
                     isSame ? existing->second
                            : agent_liveness {agent, probed.availabilityZone, {}});
        silentByZone.emplace(probed.availabilityZone, state.silentByZone[probed.availabilityZone]);
    }
    state.agents = std::move(next);
    state.silentByZone = std::move(silentByZone);
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
                   agent_liveness {row.agent, row.availabilityZone, row.probedAt, row.number, false,
                                   0, answers, row.suspected && answers < answersToTrust});
        state.silentByZone[row.availabilityZone] = 0;
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
    for (const agent_liveness &row : overdue) {
        state.silentByZone[row.availabilityZone] += row.misses == 0 ? 1 : 0;
        replaceRow(state, withMisses(row, row.misses + 1));
    }
}

void sendProbe(liveness_state &state, const agent_liveness &row, base::clock_time now,
               std::vector<liveness_action> &actions)
{
    ++state.lastNumber;
    replaceRow(state,
               agent_liveness {row.agent, row.availabilityZone, now, state.lastNumber, true,
                               row.misses, row.answers, row.suspected});
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

// Whether the next probe decides if the agent is suspected or trusted. It is sent without waiting
// for the agent's turn, so that the time of detection does not grow with the number of agents.
bool isUndecided(const agent_liveness &row)
{
    return row.suspected ? row.answers > 0 : row.misses > 0;
}

void repeatProbes(liveness_state &state, base::clock_time now,
                  std::vector<liveness_action> &actions)
{
    std::vector<agent_liveness> undecided;
    for (agent_row it = state.agents.begin();
         it != state.agents.end() && undecided.size() < repeatedProbesPerTick; ++it) {
        if (!it->second.isAnswerPending && isUndecided(it->second))
            undecided.push_back(it->second);
    }
    for (const agent_liveness &row : undecided)
        sendProbe(state, row, now, actions);
}

// Zones without an agent that answers.
std::set<std::string> silentZonesOf(const liveness_state &state)
{
    std::set<std::string> silent;
    for (const auto &[zone, agents] : state.silentByZone)
        silent.insert(zone);
    for (const auto &[node, row] : state.agents) {
        const std::size_t silentAgents = state.silentByZone.at(row.availabilityZone);
        if (!row.suspected && silentAgents < silentAgentsToSuspectZone)
            silent.erase(row.availabilityZone);
    }
    return silent;
}

bypassed_agents unreachableAgents(const liveness_state &state)
{
    const std::set<std::string> silentZones = silentZonesOf(state);
    bypassed_agents inSilentZones;
    bypassed_agents suspected;
    for (const auto &[node, row] : state.agents) {
        if (silentZones.count(row.availabilityZone) > 0)
            inSilentZones.insert(node);
        else if (row.suspected)
            suspected.insert(node);
    }
    const std::size_t others = state.agents.size() - inSilentZones.size();
    if (suspected.size() * 2 <= others)
        inSilentZones.insert(suspected.begin(), suspected.end());
    return inSilentZones.size() < state.agents.size() ? inSilentZones : bypassed_agents {};
}

void updateBypass(liveness_state &state, std::vector<liveness_action> &actions)
{
    bypassed_agents next = unreachableAgents(state);
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
                           repeatProbes(state, now, actions);
                           sendDueProbes(state, now, actions);
                       },
                   },
                   message);
        updateBypass(state, actions);
    });
    return liveness_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::routing
