#include "lycheeshunt/states/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/tickets/bounds.h"

#include <algorithm>

namespace lycheeshunt::states {

namespace {

using action_list = std::vector<state_action>;

void answer(action_list &actions, base::request_id request, state_outcome outcome)
{
    actions.emplace_back(state_answer {request, std::move(outcome)});
}

state_outcome notLeaderOutcome(const states_state &state)
{
    if (state.leadership->leaderApi.port != 0)
        return redirect_to_leader {state.leadership->leaderApi};
    return base::error {base::error_code::quorumLost, "no leader is known"};
}

// Precondition: this VM leads, is caught up, and the version is above the current one.
void propose(states_state &state, const submit_state &message, action_list &actions)
{
    const std::uint64_t version = message.state->version;
    const auto proposed = state.pending.find(version);
    if (proposed == state.pending.end()) {
        const shared_state latest
            = state.pending.empty() ? state.current : state.pending.rbegin()->second.state;
        const shared_state next = successorOf(latest, message.state);
        const std::uint64_t token = ++state.lastToken;
        state.pending.emplace(version, pending_state {next, token, {message.request}});
        actions.emplace_back(propose_state {next, token});
        return;
    }
    // Once the first state of this version is committed, a second one changes nothing, so the
    // request joins the pending proposal.
    std::vector<base::request_id> waiting = proposed->second.waiting;
    waiting.push_back(message.request);
    const pending_state joined {proposed->second.state, proposed->second.token, std::move(waiting)};
    state.pending.erase(proposed);
    state.pending.emplace(version, joined);
}

void submit(states_state &state, const submit_state &message, action_list &actions)
{
    if (!state.leadership->isLeader) {
        answer(actions, message.request, notLeaderOutcome(state));
        return;
    }
    const std::uint64_t version = message.state->version;
    if (version <= std::max(state.currentVersion(), state.undecodableVersion)) {
        state.reads.emplace(message.request, version);
        actions.emplace_back(confirm_read {message.request});
    } else if (!state.isCaughtUp) {
        state.reads.emplace(message.request, message);
        actions.emplace_back(confirm_read {message.request});
    } else {
        propose(state, message, actions);
    }
}

void getState(states_state &state, const get_state &message, action_list &actions)
{
    if (!state.leadership->isLeader) {
        answer(actions, message.request, notLeaderOutcome(state));
        return;
    }
    state.reads.emplace(message.request, message);
    actions.emplace_back(confirm_read {message.request});
}

void commit(states_state &state, const state_committed &message, action_list &actions)
{
    if (message.state->version > state.currentVersion())
        state.current = message.state;
    while (!state.pending.empty() && state.pending.begin()->first <= state.currentVersion()) {
        for (const base::request_id &request : state.pending.begin()->second.waiting)
            answer(actions, request, state_accepted {});
        state.pending.erase(state.pending.begin());
    }
}

// The highest version is in force, so a higher one that can be decoded makes this VM current again.
void noteUndecodable(states_state &state, const undecodable_state_committed &message)
{
    const std::uint64_t version = message.version.value_or(state.currentVersion() + 1);
    state.undecodableVersion = std::max(state.undecodableVersion, version);
}

void rejectProposal(states_state &state, const state_proposal_rejected &message,
                    action_list &actions)
{
    const auto found = std::find_if(state.pending.begin(), state.pending.end(),
                                    [&](const std::pair<const std::uint64_t, pending_state> &row) {
                                        return row.second.token == message.token;
                                    });
    if (found == state.pending.end())
        return;
    for (const base::request_id &request : found->second.waiting)
        answer(actions, request, message.reason);
    state.pending.erase(found);
}

void showState(const states_state &state, const get_state &read, action_list &actions)
{
    if (state.current && !state.isCurrentNewest())
        answer(actions, read.request,
               base::error {base::error_code::stateUndecodable,
                            "version " + std::to_string(state.undecodableVersion)
                                + " is above version " + std::to_string(state.currentVersion())});
    else
        answer(actions, read.request, state_contents {state.current});
}

void handleReadOutcome(states_state &state, const read_outcome &message, action_list &actions)
{
    const auto found = state.reads.find(message.request);
    if (found == state.reads.end())
        return;
    const pending_read pending = found->second;
    state.reads.erase(found);
    if (message.failure) {
        answer(actions, message.request, *message.failure);
        return;
    }
    // Reads of an earlier leadership were removed at its end.
    state.isCaughtUp = true;
    std::visit(base::overloaded {
                   [&](const get_state &read) { showState(state, read, actions); },
                   [&](std::uint64_t) { answer(actions, message.request, state_accepted {}); },
                   [&](const submit_state &submitted) { submit(state, submitted, actions); },
               },
               pending);
}

void changeLeadership(states_state &state, const leadership_update &message, action_list &actions)
{
    const bool ends = state.leadership->isLeader && !message.isLeader;
    state.leadership = std::make_shared<const leadership_update>(message);
    if (!ends)
        return;
    state.isCaughtUp = false;
    // Nothing was proposed for these, so the new leader may take them.
    for (auto it = state.reads.begin(); it != state.reads.end(); ++it)
        answer(actions, it->first, notLeaderOutcome(state));
    state.reads.clear();
    for (auto it = state.pending.begin(); it != state.pending.end(); ++it) {
        for (const base::request_id &request : it->second.waiting)
            answer(actions, request,
                   base::error {base::error_code::ticketOutcomeUnknown,
                                "state " + std::to_string(it->first)});
    }
    state.pending.clear();
}

tickets::address_route withFormer(const tickets::address_route &route,
                                  const tickets::address_route &before)
{
    std::vector<base::service_id> former;
    bool isIncomplete = before.isFormerIncomplete;
    const auto add = [&](base::service_id service) {
        const bool known = std::find(former.begin(), former.end(), service) != former.end();
        if (known || route.hasShare(service))
            return;
        if (former.size() < tickets::maxFormerServices)
            former.push_back(service);
        else
            isIncomplete = true;
    };
    for (const tickets::route_share &share : before.shares)
        add(share.service);
    for (const base::service_id &service : before.former)
        add(service);
    return tickets::address_route {route.address,  route.shares,  std::move(former),
                                   route.kind,     route.timeout, route.targetLatency,
                                   route.priority, isIncomplete};
}

} // namespace

shared_state successorOf(const shared_state &present, const shared_state &sent)
{
    if (!present)
        return sent;
    std::map<tickets::service_address, const tickets::address_route *> before;
    for (const tickets::address_route &route : present->routes)
        before.emplace(route.address, &route);
    std::vector<tickets::address_route> routes;
    for (const tickets::address_route &route : sent->routes) {
        const auto known = before.find(route.address);
        routes.push_back(known == before.end() ? route : withFormer(route, *known->second));
    }
    return std::make_shared<const desired_state>(
        desired_state {sent->version, sent->document, sent->services, std::move(routes)});
}

base::step<states_state, state_action> decide(states_state state, const state_message &message)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(base::overloaded {
                       [&](const submit_state &m) { submit(state, m, actions); },
                       [&](const get_state &m) { getState(state, m, actions); },
                       [&](const state_committed &m) { commit(state, m, actions); },
                       [&](const undecodable_state_committed &m) { noteUndecodable(state, m); },
                       [&](const state_proposal_rejected &m) { rejectProposal(state, m, actions); },
                       [&](const read_outcome &m) { handleReadOutcome(state, m, actions); },
                       [&](const leadership_update &m) { changeLeadership(state, m, actions); },
                   },
                   message);
    });
    return {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::states
