#include "lycheeshunt/evacuations/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include <algorithm>

namespace lycheeshunt::evacuations {

namespace {

using action_list = std::vector<evacuation_action>;

void answer(action_list &actions, base::request_id request, order_outcome outcome)
{
    actions.emplace_back(order_answer {request, std::move(outcome)});
}

order_outcome notLeaderOutcome(const evacuations_state &state, const evacuation_order &order)
{
    if (state.leadership->leaderApi.port != 0)
        return redirect_to_leader {state.leadership->leaderApi, order.zone};
    return base::error {base::error_code::quorumLost, "no leader is known"};
}

std::list<pending_order>::iterator firstOfZone(evacuations_state &state, const std::string &zone)
{
    return std::find_if(state.proposed.begin(), state.proposed.end(),
                        [&zone](const pending_order &each) { return each.order.zone == zone; });
}

void submit(evacuations_state &state, const submit_order &message, action_list &actions)
{
    if (!state.leadership->isLeader) {
        answer(actions, message.request, notLeaderOutcome(state, message.order));
        return;
    }
    state.unconfirmed.emplace(message.request, message.order);
    actions.emplace_back(confirm_read {message.request});
}

void handleReadOutcome(evacuations_state &state, const read_outcome &message, action_list &actions)
{
    const auto found = state.unconfirmed.find(message.request);
    if (found == state.unconfirmed.end())
        return;
    const evacuation_order order = found->second;
    state.unconfirmed.erase(found);
    if (message.failure) {
        answer(actions, message.request, *message.failure);
        return;
    }
    // An earlier order that is not committed yet may still change the zone.
    const bool isPending = firstOfZone(state, order.zone) != state.proposed.end();
    if (!isPending && (state.evacuated.count(order.zone) > 0) == order.isEvacuated) {
        answer(actions, message.request, order_accepted {});
        return;
    }
    const std::uint64_t token = ++state.lastToken;
    state.proposed.push_back(pending_order {token, message.request, order});
    actions.emplace_back(propose_order {order, token});
}

void commit(evacuations_state &state, const order_committed &message, action_list &actions)
{
    if (message.order.isEvacuated)
        state.evacuated.insert(message.order.zone);
    else
        state.evacuated.erase(message.order.zone);
    // Proposals of one zone are committed in the order in which they were made.
    const auto first = firstOfZone(state, message.order.zone);
    if (first == state.proposed.end() || first->order != message.order)
        return;
    answer(actions, first->request, order_accepted {});
    state.proposed.erase(first);
}

void rejectProposal(evacuations_state &state, const proposal_rejected &message,
                    action_list &actions)
{
    const auto found = std::find_if(
        state.proposed.begin(), state.proposed.end(),
        [&message](const pending_order &each) { return each.token == message.token; });
    if (found == state.proposed.end())
        return;
    answer(actions, found->request, message.reason);
    state.proposed.erase(found);
}

void changeLeadership(evacuations_state &state, const leadership_update &message,
                      action_list &actions)
{
    const bool ends = state.leadership->isLeader && !message.isLeader;
    state.leadership = std::make_shared<const leadership_update>(message);
    if (!ends)
        return;
    // Nothing was proposed for these orders, so the new leader may take them.
    for (auto it = state.unconfirmed.begin(); it != state.unconfirmed.end(); ++it)
        answer(actions, it->first, notLeaderOutcome(state, it->second));
    state.unconfirmed.clear();
    for (const pending_order &pending : state.proposed)
        answer(actions, pending.request,
               base::error {base::error_code::quorumLost,
                            "the outcome of the order for " + pending.order.zone + " is unknown"});
    state.proposed.clear();
}

} // namespace

base::step<evacuations_state, evacuation_action> decide(evacuations_state state,
                                                        const evacuation_message &message)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(base::overloaded {
                       [&](const submit_order &m) { submit(state, m, actions); },
                       [&](const order_committed &m) { commit(state, m, actions); },
                       [&](const proposal_rejected &m) { rejectProposal(state, m, actions); },
                       [&](const read_outcome &m) { handleReadOutcome(state, m, actions); },
                       [&](const leadership_update &m) { changeLeadership(state, m, actions); },
                   },
                   message);
    });
    return {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::evacuations
