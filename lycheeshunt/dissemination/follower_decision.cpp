#include "lycheeshunt/dissemination/follower_decision.h"

#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::dissemination {

namespace {

using follower_step = base::step<follower_state, follower_action>;
using action_list = std::vector<follower_action>;

constexpr base::clock_time announceEvery = base::clock_time::ofSeconds(1);
constexpr base::clock_time askAgainAfter = base::clock_time::ofSeconds(1);

view_request requestOf(const follower_state &state)
{
    const membership::member &self = *state.self;
    const base::generation held = state.needsRepair ? base::generation() : state.heldAt();
    return view_request {self.id(),
                         self.incarnation,
                         state.scope(),
                         held,
                         state.heldAt(),
                         state.assembly ? state.assembly->at : base::generation(),
                         state.assembly ? state.assembly->next() : snapshot_cursor {}};
}

void ask(follower_state &state, base::clock_time now, action_list &actions)
{
    if (!state.connection)
        return;
    state.awaitsAnswer = true;
    state.askedAt = now;
    actions.emplace_back(send_to_control {*state.connection, requestOf(state)});
}

// Control has not heard yet that the node has left.
bool isStillMember(const follower_state &state)
{
    if (!state.hasLeft || !state.held)
        return false;
    const auto known = state.held->members.find(state.self->id());
    return known != state.held->members.end()
        && known->second.incarnation <= state.self->incarnation;
}

// Says that the node is a member, or that it is none any more.
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

// The clock of this VM was set back between two incarnations: without a later incarnation control
// would take this incarnation for one that is over.
void outliveView(follower_state &state, base::clock_time now, action_list &actions)
{
    const membership::member &self = *state.self;
    const auto known = state.held->members.find(self.id());
    if (!state.isAnnounced || known == state.held->members.end()
        || known->second.incarnation <= self.incarnation)
        return;
    const base::incarnation next(known->second.incarnation.value() + 1);
    state.self = std::make_shared<const membership::member>(
        membership::member {self.name, self.availabilityZone, self.role, self.service, next,
                            self.packets, self.phase, self.health, self.share});
    actions.emplace_back(report_incarnation {next});
    announce(state, now, actions);
}

void adopt(follower_state &state, shared_view view, view_digest digest, base::clock_time now,
           action_list &actions)
{
    state.held = std::move(view);
    state.digest = digest;
    state.needsRepair = false;
    state.assembly.reset();
    if (state.held->at >= state.required)
        state.isReady = true;
    if (state.isReady)
        actions.emplace_back(adopt_view {state.held});
    outliveView(state, now, actions);
}

void learnRequired(follower_state &state, base::generation newest)
{
    if (state.required == base::generation())
        state.required = newest;
}

void repair(follower_state &state, base::generation at, action_list &actions)
{
    state.needsRepair = true;
    state.assembly.reset();
    actions.emplace_back(report_mismatch {at});
}

void acknowledge(const follower_state &state, action_list &actions)
{
    if (state.connection)
        actions.emplace_back(
            send_to_control {*state.connection, acknowledgement {state.heldAt(), state.digest}});
}

void takeDelta(follower_state &state, const view_delta &delta, base::clock_time now,
               action_list &actions)
{
    // A snapshot is under way, or the delta starts beyond what is held, or is an old one.
    if (state.needsRepair || !state.held || delta.to < state.heldAt())
        return;
    if (delta.from > state.heldAt()) {
        ask(state, now, actions);
        return;
    }
    learnRequired(state, delta.newest);
    const view_digest digest = digestAfter(state.digest, *state.held, delta.change);
    if (digest != delta.digest) {
        repair(state, delta.to, actions);
        ask(state, now, actions);
        return;
    }
    state.awaitsAnswer = false;
    if (delta.to > state.heldAt())
        adopt(state,
              std::make_shared<const cluster_view>(delta.change.appliedTo(*state.held, delta.to)),
              digest, now, actions);
    acknowledge(state, actions);
}

void finishSnapshot(follower_state &state, base::clock_time now, action_list &actions)
{
    shared_view view = std::make_shared<const cluster_view>(state.assembly->assembled());
    const view_digest digest = digestOf(*view);
    if (digest != state.assembly->digest) {
        // Asked for again at the next interval, so that a lasting fault makes no storm.
        repair(state, view->at, actions);
        state.awaitsAnswer = true;
        state.askedAt = now;
        return;
    }
    adopt(state, std::move(view), digest, now, actions);
    ask(state, now, actions);
}

void takePiece(follower_state &state, const snapshot_piece &piece, base::clock_time now,
               action_list &actions)
{
    const bool isOld
        = piece.at < state.heldAt() || (piece.at == state.heldAt() && !state.needsRepair);
    if (isOld || (state.assembly && piece.at < state.assembly->at))
        return;
    if (!state.assembly || piece.at > state.assembly->at) {
        state.assembly.reset();
        if (piece.start != snapshot_cursor {})
            return;
        state.assembly.emplace(snapshot_assembly {piece.at, piece.digest});
    }
    // A piece that comes twice or out of turn.
    if (piece.start != state.assembly->next())
        return;
    learnRequired(state, piece.newest);
    state.assembly->add(piece);
    if (piece.next.isEnd())
        finishSnapshot(state, now, actions);
    else
        ask(state, now, actions);
}

void open(follower_state &state, const link_opened &opened, base::clock_time now,
          action_list &actions)
{
    state.connection = opened.connection;
    announce(state, now, actions);
    ask(state, now, actions);
}

void changeSelf(follower_state &state, const self_changed &changed, base::clock_time now,
                action_list &actions)
{
    const bool isMoved = state.self->service != changed.self.service;
    state.self = std::make_shared<const membership::member>(changed.self);
    state.hasLeft = !changed.isAnnounced && (state.isAnnounced || state.hasLeft);
    state.isAnnounced = changed.isAnnounced;
    announce(state, now, actions);
    if (!isMoved)
        return;
    // The view of another service is another view.
    state.held.reset();
    state.digest = view_digest();
    state.assembly.reset();
    ask(state, now, actions);
}

void takeDirectory(const control_directory &directory, action_list &actions)
{
    std::vector<base::endpoint> servers = directory.inOrder();
    if (!servers.empty())
        actions.emplace_back(use_servers {std::move(servers), directory.leader.port != 0});
}

void check(follower_state &state, base::clock_time now, action_list &actions)
{
    if (!state.connection)
        return;
    if (now - state.announcedAt >= announceEvery)
        announce(state, now, actions);
    if (state.awaitsAnswer && now - state.askedAt >= askAgainAfter)
        ask(state, now, actions);
}

} // namespace

view_scope follower_state::scope() const
{
    return self->role == membership::member_role::entry ? view_scope {}
                                                        : view_scope {self->service};
}

follower_state followerOf(const membership::member &self)
{
    follower_state state;
    state.self = std::make_shared<const membership::member>(self);
    return state;
}

follower_step decide(follower_state state, const follower_message &message, base::clock_time now)
{
    action_list actions;
    std::visit(
        base::overloaded {
            [&](const link_opened &opened) { open(state, opened, now, actions); },
            [&](const link_closed &closed) {
                if (state.connection == closed.connection)
                    state.connection.reset();
            },
            [&](const control_message_received &said) {
                std::visit(
                    base::overloaded {
                        [&](const view_delta &delta) { takeDelta(state, delta, now, actions); },
                        [&](const snapshot_piece &piece) { takePiece(state, piece, now, actions); },
                        [&](const control_directory &known) { takeDirectory(known, actions); },
                    },
                    said.message);
            },
            [&](const self_changed &changed) { changeSelf(state, changed, now, actions); },
            [&](const follower_tick &) { check(state, now, actions); },
        },
        message);
    return follower_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::dissemination
