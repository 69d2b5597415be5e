#include "lycheeshunt/dissemination/decision.h"

#include "lycheeshunt/base/overloaded.h"

#include <set>

namespace lycheeshunt::dissemination {

namespace {

using publisher_step = base::step<publisher_state, dissemination_action>;

void publish(publisher_state &state, cluster_view next, std::vector<dissemination_action> &actions)
{
    if (next.at <= state.view->at)
        return;
    state.view = std::make_shared<const cluster_view>(std::move(next));
    for (auto it = state.subscribers.begin(); it != state.subscribers.end(); ++it)
        actions.emplace_back(send_view {it->first, state.view});
}

void setSubscriber(publisher_state &state, streams::connection_id connection,
                   const subscriber &next)
{
    state.subscribers.erase(connection);
    state.subscribers.emplace(connection, next);
}

subscriber subscriberOf(const publisher_state &state, streams::connection_id connection)
{
    const auto found = state.subscribers.find(connection);
    return found == state.subscribers.end() ? subscriber {} : found->second;
}

std::vector<std::string> behindAt(const publisher_state &state, base::generation at)
{
    std::set<base::node_id> reached;
    for (auto it = state.subscribers.begin(); it != state.subscribers.end(); ++it) {
        if (it->second.acknowledged >= at)
            reached.insert(it->second.node);
    }
    std::vector<std::string> behind;
    for (auto it = state.view->members.begin(); it != state.view->members.end(); ++it) {
        if (reached.count(it->first) == 0)
            behind.push_back(it->second.name);
    }
    return behind;
}

} // namespace

publisher_step decide(publisher_state state, const dissemination_message &message)
{
    std::vector<dissemination_action> actions;
    std::visit(
        base::overloaded {
            [&](const subscriber_opened &opened) {
                setSubscriber(state, opened.connection, subscriber {});
                actions.emplace_back(send_view {opened.connection, state.view});
            },
            [&](const subscriber_closed &closed) { state.subscribers.erase(closed.connection); },
            [&](const subscriber_named &named) {
                const subscriber known = subscriberOf(state, named.connection);
                setSubscriber(state, named.connection, subscriber {named.node, known.acknowledged});
            },
            [&](const view_acknowledged &acknowledged) {
                const subscriber known = subscriberOf(state, acknowledged.connection);
                setSubscriber(state, acknowledged.connection,
                              subscriber {known.node, acknowledged.at});
            },
            [&](const ticket_applied &applied) {
                publish(state, state.view->withTicket(applied.at, applied.ticket), actions);
            },
            [&](const batch_applied &applied) {
                publish(state, state.view->withBatch(applied.at, applied.batch), actions);
            },
            [&](const force_query &query) {
                actions.emplace_back(
                    force_answer {query.request, state.view, behindAt(state, query.at)});
            },
        },
        message);
    return publisher_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::dissemination
