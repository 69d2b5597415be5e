#include "lycheeshunt/dissemination/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/internal/delta_builder.h"
#include "lycheeshunt/dissemination/internal/in_flight.h"
#include "lycheeshunt/dissemination/internal/in_force_report.h"
#include "lycheeshunt/dissemination/internal/snapshot_cuts.h"
#include "lycheeshunt/dissemination/snapshot.h"

#include <algorithm>

namespace lycheeshunt::dissemination {

namespace {

using publisher_step = base::step<publisher_state, dissemination_action>;
using action_list = std::vector<dissemination_action>;

void publish(publisher_state &state, base::generation at, view_change change, bool isMerged = false)
{
    if (at <= state.view->at)
        return;
    const base::generation previous = state.view->at;
    state.digests.apply(*state.view, change);
    state.view = std::make_shared<const cluster_view>(change.appliedTo(*state.view, at));
    state.historyObjects += change.size();
    state.history.push_back(history_entry {at, std::move(change), previous, isMerged});
    while (state.historyObjects > maxHistoryObjects || state.history.size() > maxHistoryEntries) {
        state.historyObjects -= state.history.front().change.size();
        state.history.pop_front();
    }
}

// No delta can start between merged entries: nodes with a generation in between get a snapshot.
void publishMerged(publisher_state &state, const entries_merged &entries)
{
    std::vector<view_change> changes;
    if (entries.batch)
        changes.push_back(changeOf(*state.view, *entries.batch));
    // The highest version is in force, regardless of the order in the log.
    if (entries.state && entries.state->version > state.stateVersion) {
        state.stateVersion = entries.state->version;
        changes.push_back(changeOf(*state.view, *entries.state));
    }
    if (!entries.evacuations.empty())
        changes.push_back(changeOf(entries.evacuations));
    std::vector<const view_change *> parts;
    parts.reserve(changes.size());
    for (const view_change &change : changes)
        parts.push_back(&change);
    const bool isFirst = state.view->at == base::generation();
    publish(state, entries.at, merged(parts), true);
    // No node has a view without entries, so no delta starts there.
    if (isFirst) {
        state.history.clear();
        state.historyObjects = 0;
    }
}

void setSubscriber(publisher_state &state, streams::connection_id connection, subscriber next)
{
    state.subscribers.erase(connection);
    state.subscribers.emplace(connection, std::move(next));
}

// The nodes must have the same scope, and have the generation or a delta to it in flight.
void sendDelta(publisher_state &state, std::vector<streams::connection_id> connections,
               base::generation from, internal::delta_builder &builder, base::clock_time now,
               action_list &actions)
{
    const view_scope scope = state.subscribers.at(connections.front()).scope;
    view_delta delta = builder.deltaFor(from, scope);
    const std::size_t objects = delta.change.size();
    for (const streams::connection_id &connection : connections) {
        const subscriber receiver = state.subscribers.at(connection);
        ++state.counts.deltas;
        state.counts.repeatedDeltas += receiver.inFlight.empty() ? 0 : 1;
        state.counts.objects += objects;
        setSubscriber(
            state, connection,
            internal::withSent(receiver, delta.from, delta.to, delta.digest, objects, now));
    }
    actions.emplace_back(send_to_nodes {std::move(connections), std::move(delta)});
}

void renewSnapshotBase(publisher_state &state, base::generation atLeast)
{
    if (state.snapshotBase && state.snapshotBase->view->at >= atLeast
        && state.historyCovers(state.snapshotBase->view->at))
        return;
    state.snapshotBase
        = std::make_shared<const snapshot_base>(snapshot_base {state.view, state.digests});
    state.cuts.clear();
}

// Sends the pieces from the cursor on that fit the window.
void sendPieces(publisher_state &state, streams::connection_id connection,
                const snapshot_cursor &cursor, std::uint32_t window, base::clock_time now,
                action_list &actions)
{
    const view_scope scope = state.subscribers.at(connection).scope;
    const bool isCompressed = state.windows.count(connection) > 0;
    std::vector<shared_cut> pieces = {internal::cutAt(state, scope, cursor)};
    while (pieces.size() < window && !pieces.back()->next.isEnd())
        pieces.push_back(internal::cutAt(state, scope, pieces.back()->next));
    state.cutsUsedAt = now;
    std::uint32_t follows = static_cast<std::uint32_t>(pieces.size());
    for (const shared_cut &piece : pieces) {
        ++state.counts.snapshotPieces;
        state.counts.objects += piece->part.size();
        actions.emplace_back(
            send_piece {{connection}, piece, state.view->at, --follows, isCompressed});
    }
}

void setWindow(publisher_state &state, streams::connection_id connection, const view_window &window)
{
    state.windows[connection] = std::clamp(window.pieces, std::uint32_t(1), maxPieceWindow);
}

std::uint32_t windowOf(const publisher_state &state, streams::connection_id connection)
{
    const auto found = state.windows.find(connection);
    return found == state.windows.end() ? 1 : found->second;
}

void startSnapshot(publisher_state &state, streams::connection_id connection,
                   base::generation atLeast, std::uint32_t window, base::clock_time now,
                   action_list &actions)
{
    renewSnapshotBase(state, atLeast);
    sendPieces(state, connection, snapshot_cursor {}, window, now, actions);
}

// Sends the first piece unrequested, and retransmits it until the node requests the next one.
void offerSnapshot(publisher_state &state, streams::connection_id connection, base::clock_time now,
                   action_list &actions)
{
    const subscriber receiver = state.subscribers.at(connection);
    setSubscriber(state, connection,
                  internal::withSent(receiver, base::generation(), base::generation(),
                                     view_digest(), snapshotPieceObjects, now));
    startSnapshot(state, connection, receiver.current, 1, now, actions);
}

void handleRequest(publisher_state &state, streams::connection_id connection,
                   const view_request &request, base::clock_time now, action_list &actions)
{
    const auto known = state.subscribers.find(connection);
    const bool isKnown = known != state.subscribers.end();
    if (isKnown && !state.isCatchingUp && internal::isAnswerInFlight(known->second, request, now))
        return;
    const bool canResume = state.snapshotBase && request.snapshotAt != base::generation()
        && state.snapshotBase->view->at == request.snapshotAt
        && state.historyCovers(request.snapshotAt);
    const bool canContinue = !canResume && request.current != base::generation()
        && state.historyCovers(request.current);
    const bool isAhead = std::max(request.current, request.atLeast) > state.view->at;
    const bool hasGeneration = isAhead || (canContinue && !state.isCatchingUp);
    setSubscriber(
        state, connection,
        subscriber {request.node, request.incarnation, request.scope,
                    hasGeneration ? request.current : base::generation(), base::generation(),
                    hasGeneration && isKnown ? internal::earlierAnswers(known->second, request)
                                             : std::vector<sent_delta> {},
                    isKnown ? known->second.roundTrip : std::nullopt});
    state.unanswered.erase(connection);
    // The node is ahead of this control VM, or nothing is committed yet, or the entries of earlier
    // terms are not applied yet. The answer follows when they are.
    if (isAhead || state.isCatchingUp || state.view->at == base::generation()) {
        state.unanswered.emplace(connection, request);
        return;
    }
    if (canResume) {
        sendPieces(state, connection, request.cursor, windowOf(state, connection), now, actions);
    } else if (canContinue) {
        internal::delta_builder builder(state);
        sendDelta(state, {connection}, request.current, builder, now, actions);
    } else {
        startSnapshot(state, connection, std::max(request.current, request.atLeast),
                      windowOf(state, connection), now, actions);
    }
}

void answerWaitingNodes(publisher_state &state, base::clock_time now, action_list &actions)
{
    std::map<streams::connection_id, view_request> waiting;
    waiting.swap(state.unanswered);
    for (auto it = waiting.begin(); it != waiting.end(); ++it)
        handleRequest(state, it->first, it->second, now, actions);
}

// Only a delta in flight can be acknowledged. Any other generation or digest is stale or belongs to
// a diverged history.
void handleAcknowledgement(publisher_state &state, streams::connection_id connection,
                           const acknowledgement &ack, base::clock_time now)
{
    ++state.counts.acknowledgements;
    const auto found = state.subscribers.find(connection);
    if (found == state.subscribers.end()) {
        ++state.counts.ignoredAcknowledgements;
        return;
    }
    const subscriber receiver = found->second;
    const auto isOf = [&ack](const sent_delta &delta) {
        return delta.to == ack.at && delta.digest == ack.digest;
    };
    const auto sent = std::find_if(receiver.inFlight.begin(), receiver.inFlight.end(), isOf);
    if (sent == receiver.inFlight.end()) {
        ++state.counts.ignoredAcknowledgements;
        return;
    }
    // If the same generation was sent several times, any of them may be the one acknowledged.
    const bool isOnly
        = std::find_if(sent + 1, receiver.inFlight.end(), isOf) == receiver.inFlight.end();
    setSubscriber(state, connection,
                  subscriber {receiver.node, receiver.incarnation, receiver.scope, ack.at, ack.at,
                              std::vector<sent_delta>(sent + 1, receiver.inFlight.end()),
                              isOnly ? std::optional(now - sent->sentAt) : receiver.roundTrip});
}

bool isDue(const publisher_state &state, const subscriber &receiver, base::clock_time now)
{
    if (receiver.current == base::generation() || receiver.current > state.view->at)
        return false;
    return receiver.inFlight.empty() ? receiver.current < state.view->at
                                     : now >= receiver.inFlight.back().repeatAt;
}

void sendDueUpdates(publisher_state &state, base::clock_time now, action_list &actions)
{
    using group_key = std::pair<base::generation, base::service_id>;
    std::map<group_key, std::vector<streams::connection_id>> due;
    for (auto it = state.subscribers.begin(); it != state.subscribers.end(); ++it) {
        if (isDue(state, it->second, now))
            due[group_key(it->second.sentTo(), it->second.scope.service)].push_back(it->first);
    }
    internal::delta_builder builder(state);
    for (auto it = due.begin(); it != due.end(); ++it) {
        if (state.historyCovers(it->first.first)) {
            sendDelta(state, std::move(it->second), it->first.first, builder, now, actions);
            continue;
        }
        for (const streams::connection_id &connection : it->second)
            offerSnapshot(state, connection, now, actions);
    }
}

void answerPendingQueries(publisher_state &state, base::clock_time now, action_list &actions)
{
    std::vector<pending_query> remaining;
    for (const pending_query &pending : state.pendingQueries) {
        in_force_answer answer = internal::answerTo(state, pending.query);
        if (answer.isInForce() || now >= pending.deadline)
            actions.emplace_back(std::move(answer));
        else
            remaining.push_back(pending);
    }
    state.pendingQueries.swap(remaining);
}

} // namespace

bool publisher_state::historyCovers(base::generation from) const
{
    if (from == view->at)
        return true;
    const auto next = std::find_if(history.begin(), history.end(),
                                   [from](const history_entry &entry) { return entry.at > from; });
    if (next == history.end())
        return false;
    const bool hasEarlier = next != history.begin();
    return (hasEarlier && !next->isMerged) || next->appliesTo(from);
}

std::size_t publisher_state::nodesBehind() const
{
    return static_cast<std::size_t>(
        std::count_if(subscribers.begin(), subscribers.end(),
                      [this](const std::pair<const streams::connection_id, subscriber> &row) {
                          return row.second.acknowledged < view->at;
                      }));
}

publisher_step decide(publisher_state state, const dissemination_message &message,
                      base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(base::overloaded {
                       // Nothing is known of the node before its first message.
                       [](const subscriber_opened &) {},
                       [&](const subscriber_closed &closed) {
                           state.subscribers.erase(closed.connection);
                           state.windows.erase(closed.connection);
                           state.unanswered.erase(closed.connection);
                       },
                       [&](const node_message_received &received) {
                           std::visit(base::overloaded {
                                          [&](const view_request &request) {
                                              handleRequest(state, received.connection, request,
                                                            now, actions);
                                          },
                                          [&](const view_window &window) {
                                              setWindow(state, received.connection, window);
                                          },
                                          [&](const acknowledgement &ack) {
                                              handleAcknowledgement(state, received.connection, ack,
                                                                    now);
                                          },
                                      },
                                      received.message);
                       },
                       [&](const ticket_applied &applied) {
                           publish(state, applied.at, changeOf(applied.ticket));
                       },
                       [&](const batch_applied &applied) {
                           publish(state, applied.at, changeOf(*state.view, applied.batch));
                       },
                       [&](const state_applied &applied) {
                           // The highest version is in force, regardless of the order in the log.
                           if (applied.state->version <= state.stateVersion)
                               return;
                           state.stateVersion = applied.state->version;
                           publish(state, applied.at, changeOf(*state.view, *applied.state));
                       },
                       [&](const evacuation_applied &applied) {
                           publish(state, applied.at, changeOf(std::vector {applied.order}));
                       },
                       [&](const entries_merged &entries) { publishMerged(state, entries); },
                       [&](const leadership_began &began) {
                           state.term = began.term;
                           state.isCatchingUp = true;
                       },
                       [&](const log_caught_up &caughtUp) {
                           if (caughtUp.term != state.term)
                               return;
                           state.isCatchingUp = false;
                           answerWaitingNodes(state, now, actions);
                       },
                       [&](const in_force_query &query) {
                           state.pendingQueries.push_back(pending_query {query, now + query.wait});
                           answerPendingQueries(state, now, actions);
                       },
                       [&](const publisher_tick &) {
                           answerWaitingNodes(state, now, actions);
                           sendDueUpdates(state, now, actions);
                           internal::dropUnusedCuts(state, now);
                           answerPendingQueries(state, now, actions);
                       },
                   },
                   message);
    });
    return publisher_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::dissemination
