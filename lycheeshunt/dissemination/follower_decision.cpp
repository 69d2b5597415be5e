#include "lycheeshunt/dissemination/follower_decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::dissemination {

namespace {

using follower_step = base::step<follower_state, follower_action>;
using action_list = std::vector<follower_action>;

constexpr base::clock_time announceInterval = base::clock_time::ofSeconds(1);
constexpr base::clock_time requestRetryInterval = base::clock_time::ofSeconds(1);
// Snapshot pieces that the node accepts for one request; control sends at most as many.
constexpr std::uint32_t acceptedPieces = 4;

view_request requestOf(const follower_state &state)
{
    const membership::member &self = *state.self;
    const base::generation current
        = state.needsRepair ? base::generation() : state.viewGeneration();
    return view_request {self.id(),
                         self.incarnation,
                         state.scope(),
                         current,
                         state.viewGeneration(),
                         state.assembly ? state.assembly->at : base::generation(),
                         state.assembly ? state.assembly->next() : snapshot_cursor {}};
}

void sendRequest(follower_state &state, base::clock_time now, action_list &actions)
{
    if (!state.connection)
        return;
    state.awaitsReply = true;
    state.requestedAt = now;
    view_request request = requestOf(state);
    // The view of one service usually is a single piece, and a node with a view usually is sent
    // deltas.
    const bool expectsPieces
        = state.assembly || (request.current == base::generation() && state.scope().isComplete());
    if (expectsPieces && !state.hasSentWindow) {
        state.hasSentWindow = true;
        actions.emplace_back(send_to_control {*state.connection, view_window {acceptedPieces}});
    }
    actions.emplace_back(send_to_control {*state.connection, std::move(request)});
}

// Whether the node has left but is still a member in control's view.
bool isStillMember(const follower_state &state)
{
    if (!state.hasLeft || !state.view)
        return false;
    const auto record = state.view->members.find(state.self->id());
    return record != state.view->members.end()
        && record->second.incarnation <= state.self->incarnation;
}

// Announces the node as a member, or repeats that it has left.
void announce(follower_state &state, base::clock_time now, action_list &actions)
{
    state.announcedAt = now;
    if (!state.connection)
        return;
    if (state.isAnnounced)
        actions.emplace_back(announce_self {*state.connection, *state.self});
    else if (isStillMember(state))
        actions.emplace_back(
            leave_group {*state.connection, {state.self->id(), state.self->incarnation}});
}

// If this VM's clock was set back between two starts, the view has a later incarnation of the node,
// and control would ignore this one as stale. Takes an incarnation later than that one.
void advanceIncarnation(follower_state &state, base::clock_time now, action_list &actions)
{
    const membership::member &self = *state.self;
    const auto record = state.view->members.find(self.id());
    if (!state.isAnnounced || record == state.view->members.end()
        || record->second.incarnation <= self.incarnation)
        return;
    const base::incarnation next(record->second.incarnation.value() + 1);
    state.self = std::make_shared<const membership::member>(
        membership::member {self.name, self.availabilityZone, self.role, self.service, next,
                            self.packets, self.phase, self.health, self.share});
    actions.emplace_back(report_incarnation {next});
    announce(state, now, actions);
}

void adopt(follower_state &state, shared_view view, view_digest digest, base::clock_time now,
           action_list &actions)
{
    state.view = std::move(view);
    state.digest = digest;
    state.needsRepair = false;
    state.assembly.reset();
    if (state.view->at >= state.required)
        state.isReady = true;
    if (state.isReady)
        actions.emplace_back(adopt_view {state.view});
    advanceIncarnation(state, now, actions);
}

void recordRequired(follower_state &state, base::generation newest)
{
    if (state.required == base::generation())
        state.required = newest;
}

void startRepair(follower_state &state, base::generation at, action_list &actions)
{
    state.needsRepair = true;
    state.assembly.reset();
    actions.emplace_back(report_mismatch {at});
}

void acknowledge(const follower_state &state, action_list &actions)
{
    if (state.connection)
        actions.emplace_back(send_to_control {
            *state.connection, acknowledgement {state.viewGeneration(), state.digest}});
}

void handleDelta(follower_state &state, const view_delta &delta, base::clock_time now,
                 action_list &actions)
{
    // The node needs a snapshot first, or the delta is stale.
    if (state.needsRepair || !state.view || delta.to < state.viewGeneration())
        return;
    if (delta.from > state.viewGeneration()) {
        sendRequest(state, now, actions);
        return;
    }
    recordRequired(state, delta.newest);
    const view_digest digest = digestAfter(state.digest, *state.view, delta.change);
    if (digest != delta.digest) {
        startRepair(state, delta.to, actions);
        sendRequest(state, now, actions);
        return;
    }
    state.awaitsReply = false;
    if (delta.to > state.viewGeneration())
        adopt(state,
              std::make_shared<const cluster_view>(delta.change.appliedTo(*state.view, delta.to)),
              digest, now, actions);
    acknowledge(state, actions);
}

void finishSnapshot(follower_state &state, base::clock_time now, action_list &actions)
{
    shared_view view = std::make_shared<const cluster_view>(state.assembly->assembled());
    const view_digest digest = digestOf(*view);
    if (digest != state.assembly->digest) {
        // Retried only after the retry interval, so that a persistent fault causes no request
        // storm.
        startRepair(state, view->at, actions);
        state.awaitsReply = true;
        state.requestedAt = now;
        return;
    }
    adopt(state, std::move(view), digest, now, actions);
    sendRequest(state, now, actions);
}

void handlePiece(follower_state &state, const snapshot_piece &piece, base::clock_time now,
                 action_list &actions)
{
    const bool isStale = piece.at < state.viewGeneration()
        || (piece.at == state.viewGeneration() && !state.needsRepair);
    if (isStale || (state.assembly && piece.at < state.assembly->at))
        return;
    if (!state.assembly || piece.at > state.assembly->at) {
        state.assembly.reset();
        if (piece.start != snapshot_cursor {})
            return;
        state.assembly.emplace(snapshot_assembly {piece.at, piece.digest});
    }
    // Ignore duplicate and reordered pieces.
    if (piece.start != state.assembly->next())
        return;
    recordRequired(state, piece.newest);
    state.assembly->add(piece);
    if (piece.next.isEnd()) {
        finishSnapshot(state, now, actions);
    } else if (piece.follows > 0) {
        // Requested again only if the announced pieces do not arrive.
        state.awaitsReply = true;
        state.requestedAt = now;
    } else {
        sendRequest(state, now, actions);
    }
}

void handleOpened(follower_state &state, const link_opened &opened, base::clock_time now,
                  action_list &actions)
{
    state.connection = opened.connection;
    announce(state, now, actions);
    state.hasSentWindow = false;
    sendRequest(state, now, actions);
}

void changeSelf(follower_state &state, const self_changed &changed, base::clock_time now,
                action_list &actions)
{
    const bool hasMoved = state.self->service != changed.self.service;
    state.self = std::make_shared<const membership::member>(changed.self);
    state.hasLeft = !changed.isAnnounced && (state.isAnnounced || state.hasLeft);
    state.isAnnounced = changed.isAnnounced;
    announce(state, now, actions);
    if (!hasMoved)
        return;
    // The view was restricted to the previous service.
    state.view.reset();
    state.digest = view_digest();
    state.assembly.reset();
    sendRequest(state, now, actions);
}

void handleDirectory(const control_directory &directory, action_list &actions)
{
    std::vector<base::endpoint> servers = directory.leaderFirst();
    if (!servers.empty())
        actions.emplace_back(use_servers {std::move(servers), directory.leader.port != 0});
}

void handleTick(follower_state &state, base::clock_time now, action_list &actions)
{
    if (!state.connection)
        return;
    if (now - state.announcedAt >= announceInterval)
        announce(state, now, actions);
    if (state.awaitsReply && now - state.requestedAt >= requestRetryInterval)
        sendRequest(state, now, actions);
}

} // namespace

view_scope follower_state::scope() const
{
    return self->role == membership::member_role::entry ? view_scope {}
                                                        : view_scope {self->service};
}

follower_state makeFollowerState(const membership::member &self, bool isAnnounced)
{
    follower_state state;
    state.self = std::make_shared<const membership::member>(self);
    state.isAnnounced = isAnnounced;
    return state;
}

follower_step decide(follower_state state, const follower_message &message, base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(
            base::overloaded {
                [&](const link_opened &opened) { handleOpened(state, opened, now, actions); },
                [&](const link_closed &closed) {
                    if (state.connection == closed.connection)
                        state.connection.reset();
                },
                [&](const control_message_received &received) {
                    std::visit(base::overloaded {
                                   [&](const view_delta &delta) {
                                       handleDelta(state, delta, now, actions);
                                   },
                                   [&](const snapshot_piece &piece) {
                                       handlePiece(state, piece, now, actions);
                                   },
                                   [&](const control_directory &directory) {
                                       handleDirectory(directory, actions);
                                   },
                               },
                               received.message);
                },
                [&](const self_changed &changed) { changeSelf(state, changed, now, actions); },
                [&](const follower_tick &) { handleTick(state, now, actions); },
            },
            message);
    });
    return follower_step {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::dissemination
