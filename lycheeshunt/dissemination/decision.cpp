#include "lycheeshunt/dissemination/decision.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/internal/force_report.h"
#include "lycheeshunt/dissemination/snapshot.h"

#include <algorithm>

namespace lycheeshunt::dissemination {

namespace {

using publisher_step = base::step<publisher_state, dissemination_action>;
using action_list = std::vector<dissemination_action>;

void publish(publisher_state &state, base::generation at, view_change change)
{
    if (at <= state.view->at)
        return;
    state.digests.apply(*state.view, change);
    state.view = std::make_shared<const cluster_view>(change.appliedTo(*state.view, at));
    state.historyObjects += change.size();
    state.history.push_back(history_entry {at, std::move(change)});
    while (state.historyObjects > maxHistoryObjects || state.history.size() > maxHistoryEntries) {
        state.historyObjects -= state.history.front().change.size();
        state.history.pop_front();
    }
}

// Deltas can't start between the entries that were merged, so nodes that are behind get a snapshot.
void publishMerged(publisher_state &state, const entries_merged &entries)
{
    std::vector<view_change> changes;
    if (entries.batch)
        changes.push_back(changeOf(*state.view, *entries.batch));
    // The highest version is in force, whatever the order in the log.
    if (entries.state && entries.state->version > state.stateVersion) {
        state.stateVersion = entries.state->version;
        changes.push_back(changeOf(*state.view, *entries.state));
    }
    std::vector<const view_change *> parts;
    parts.reserve(changes.size());
    for (const view_change &change : changes)
        parts.push_back(&change);
    publish(state, entries.at, merged(parts));
    state.history.clear();
    state.historyObjects = 0;
}

void setSubscriber(publisher_state &state, streams::connection_id connection, subscriber next)
{
    state.subscribers.erase(connection);
    state.subscribers.emplace(connection, std::move(next));
}

// Nodes mostly hold the same generation, so the merged changes of the last one asked for are kept.
class delta_maker
{
public:
    explicit delta_maker(const publisher_state &state) : m_state(state) { }

    view_delta deltaFor(base::generation from, const view_scope &scope)
    {
        if (!m_merged || m_from != from) {
            m_from = from;
            m_merged.emplace(mergedSince(from));
        }
        const base::generation newest = m_state.view->at;
        return view_delta {from, newest, newest, m_state.digests.of(scope),
                           m_merged->within(scope)};
    }

private:
    view_change mergedSince(base::generation from) const
    {
        const auto first
            = std::find_if(m_state.history.begin(), m_state.history.end(),
                           [from](const history_entry &entry) { return entry.at > from; });
        std::vector<const view_change *> changes;
        for (auto it = first; it != m_state.history.end(); ++it)
            changes.push_back(&it->change);
        return merged(changes);
    }

    const publisher_state &m_state;
    base::generation m_from;
    std::optional<view_change> m_merged;
};

void sendDelta(publisher_state &state, streams::connection_id connection, delta_maker &maker,
               base::clock_time now, action_list &actions)
{
    const subscriber known = state.subscribers.at(connection);
    view_delta delta = maker.deltaFor(known.held, known.scope);
    setSubscriber(state, connection,
                  subscriber {known.node, known.incarnation, known.scope, known.held,
                              known.acknowledged, sent_delta {delta.to, delta.digest, now}});
    actions.emplace_back(send_to_node {connection, std::move(delta)});
}

void renewBase(publisher_state &state, base::generation atLeast)
{
    if (state.base && state.base->view->at >= atLeast && state.reachesBackTo(state.base->view->at))
        return;
    state.base = std::make_shared<const snapshot_base>(snapshot_base {state.view, state.digests});
}

void sendPiece(publisher_state &state, streams::connection_id connection,
               const snapshot_cursor &cursor, action_list &actions)
{
    const view_scope scope = state.subscribers.at(connection).scope;
    const cluster_view &view = *state.base->view;
    snapshot_part cut = partAfter(view, scope, cursor);
    actions.emplace_back(
        send_to_node {connection,
                      snapshot_piece {view.at, state.view->at, state.base->digests.of(scope),
                                      cursor, cut.next, std::move(cut.part)}});
}

void startSnapshot(publisher_state &state, streams::connection_id connection,
                   base::generation atLeast, action_list &actions)
{
    renewBase(state, atLeast);
    sendPiece(state, connection, snapshot_cursor {}, actions);
}

// The node has not asked, so its first piece is sent again until it asks for the next.
void offerSnapshot(publisher_state &state, streams::connection_id connection, base::clock_time now,
                   action_list &actions)
{
    const subscriber known = state.subscribers.at(connection);
    setSubscriber(state, connection,
                  subscriber {known.node, known.incarnation, known.scope, known.held,
                              known.acknowledged,
                              sent_delta {base::generation(), view_digest(), now}});
    startSnapshot(state, connection, known.held, actions);
}

void takeRequest(publisher_state &state, streams::connection_id connection,
                 const view_request &request, base::clock_time now, action_list &actions)
{
    const bool mayResume = state.base && request.snapshotAt != base::generation()
        && state.base->view->at == request.snapshotAt && state.reachesBackTo(request.snapshotAt);
    const bool mayContinue
        = !mayResume && request.held != base::generation() && state.reachesBackTo(request.held);
    const bool isAhead = std::max(request.held, request.atLeast) > state.view->at;
    setSubscriber(state, connection,
                  subscriber {request.node, request.incarnation, request.scope,
                              mayContinue || isAhead ? request.held : base::generation()});
    // The node is ahead, so this control VM has still to catch up; or nothing is committed yet.
    if (isAhead || state.view->at == base::generation())
        return;
    if (mayResume) {
        sendPiece(state, connection, request.cursor, actions);
    } else if (mayContinue) {
        delta_maker maker(state);
        sendDelta(state, connection, maker, now, actions);
    } else {
        startSnapshot(state, connection, std::max(request.held, request.atLeast), actions);
    }
}

// Only the delta under way can be acknowledged: any other generation or digest is late, or of
// another history.
void takeAcknowledgement(publisher_state &state, streams::connection_id connection,
                         const acknowledgement &heard)
{
    const auto found = state.subscribers.find(connection);
    if (found == state.subscribers.end() || !found->second.sent)
        return;
    const subscriber known = found->second;
    if (known.sent->to != heard.at || known.sent->digest != heard.digest)
        return;
    setSubscriber(state, connection,
                  subscriber {known.node, known.incarnation, known.scope, heard.at, heard.at});
}

bool isDue(const publisher_state &state, const subscriber &known, base::clock_time now)
{
    if (known.held == base::generation() || known.held > state.view->at)
        return false;
    return known.sent ? now - known.sent->at >= resendAfter : known.held < state.view->at;
}

void sendDue(publisher_state &state, base::clock_time now, action_list &actions)
{
    std::vector<streams::connection_id> due;
    for (auto it = state.subscribers.begin(); it != state.subscribers.end(); ++it) {
        if (isDue(state, it->second, now))
            due.push_back(it->first);
    }
    delta_maker maker(state);
    for (const streams::connection_id &connection : due) {
        const base::generation held = state.subscribers.at(connection).held;
        if (state.reachesBackTo(held))
            sendDelta(state, connection, maker, now, actions);
        else
            offerSnapshot(state, connection, now, actions);
    }
}

void answerWaiting(publisher_state &state, base::clock_time now, action_list &actions)
{
    std::vector<waiting_query> still;
    for (const waiting_query &waiting : state.waiting) {
        in_force_answer answer = internal::reportOn(state, waiting.query);
        if (answer.isInForce() || now >= waiting.deadline)
            actions.emplace_back(std::move(answer));
        else
            still.push_back(waiting);
    }
    state.waiting.swap(still);
}

} // namespace

bool publisher_state::reachesBackTo(base::generation from) const
{
    if (from == view->at)
        return true;
    return !history.empty() && from < view->at && from.value() + 1 >= history.front().at.value();
}

publisher_step decide(publisher_state state, const dissemination_message &message,
                      base::clock_time now)
{
    action_list actions;
    std::visit(
        base::overloaded {
            // A node speaks first; until then nothing is known of it.
            [](const subscriber_opened &) {},
            [&](const subscriber_closed &closed) { state.subscribers.erase(closed.connection); },
            [&](const node_message_received &said) {
                std::visit(base::overloaded {
                               [&](const view_request &request) {
                                   takeRequest(state, said.connection, request, now, actions);
                               },
                               [&](const acknowledgement &heard) {
                                   takeAcknowledgement(state, said.connection, heard);
                               },
                           },
                           said.message);
            },
            [&](const ticket_applied &applied) {
                publish(state, applied.at, changeOf(applied.ticket));
            },
            [&](const batch_applied &applied) {
                publish(state, applied.at, changeOf(*state.view, applied.batch));
            },
            [&](const state_applied &applied) {
                // The highest version is in force, whatever the order in the log.
                if (applied.state->version <= state.stateVersion)
                    return;
                state.stateVersion = applied.state->version;
                publish(state, applied.at, changeOf(*state.view, *applied.state));
            },
            [&](const entries_merged &entries) { publishMerged(state, entries); },
            [&](const in_force_query &query) {
                state.waiting.push_back(waiting_query {query, now + query.wait});
                answerWaiting(state, now, actions);
            },
            [&](const publisher_tick &) {
                sendDue(state, now, actions);
                answerWaiting(state, now, actions);
            },
        },
        message);
    return publisher_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::dissemination
