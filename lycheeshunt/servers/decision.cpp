#include "lycheeshunt/servers/decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include <algorithm>

namespace lycheeshunt::servers {

namespace {

using action_list = std::vector<server_action>;

// Servers announce themselves about every 1.2 s, so three announcements in a row are missing.
constexpr base::clock_time announcementTimeout = base::clock_time::ofMillis(4000);
// Two announcement periods and a margin.
constexpr base::clock_time restoredTimeout = base::clock_time::ofMillis(2600);
// An incarnation whose start the agent has seen is heard by then.
constexpr std::uint64_t maxStartupSequence = 3;

// An announcement may come from another writer. What it says of another service must not affect the
// server here, whichever incarnation it names.
base::error mismatchOf(const servers_state &state, const server_announcement &announcement)
{
    return base::error {base::error_code::announcedServiceMismatch,
                        "service of " + announcement.identity + " is \"" + announcement.service
                            + "\", must be \"" + state.service
                            + "\", the service in the agent's settings"};
}

// A delayed announcement of an earlier incarnation must not override that of a later one. The
// clocks of two incarnations may disagree, so an incarnation that keeps announcing itself replaces
// the current one once that one has been silent for the timeout.
bool isStale(const servers_state &state, const server_announcement &announcement,
             base::clock_time now)
{
    if (!state.current || now - state.lastHeard >= announcementTimeout)
        return false;
    if (announcement.isSameIncarnationAs(*state.current))
        return announcement.sequence < state.current->sequence;
    return announcement.startedAt < state.current->startedAt;
}

void publishStatus(servers_state &state, action_list &actions)
{
    if (!state.current)
        return;
    const server_status status {state.incarnation, !state.isUnavailable && !state.isAgentStopping,
                                state.current->slots, state.startedBeforeAgent,
                                state.isServerStopping};
    if (state.published && *state.published == status)
        return;
    state.published = std::make_shared<const server_status>(status);
    actions.emplace_back(status);
}

// Published before the status, so that no flow is opened at a cold server without the limit.
void publishWarmup(servers_state &state, base::clock_time remaining, base::clock_time now,
                   action_list &actions)
{
    const bool isCold = remaining > base::clock_time();
    if (!isCold && state.coldUntil == base::clock_time())
        return;
    state.coldUntil = isCold ? now + remaining : base::clock_time();
    actions.emplace_back(server_warmup {state.coldUntil, state.starts});
}

void startIncarnation(servers_state &state, const server_announcement &announcement)
{
    // A server that was only silent still holds the flows from before the agent's start. The first
    // server that an agent hears may have some too, however few announcements it has sent: an
    // earlier process of the agent may have opened flows in between. Start times don't tell, since
    // the VM's clock may have been set back.
    const bool isFirstHeard = !state.current;
    if (isFirstHeard || !announcement.isSameIncarnationAs(*state.current))
        state.startedBeforeAgent = isFirstHeard || announcement.sequence > maxStartupSequence;
    const bool isFirst = !state.current && (!state.published || state.published->isAccepting);
    state.isRestored = false;
    state.isUnavailable = false;
    if (!isFirst)
        state.incarnation = base::incarnation(state.incarnation.value() + 1);
}

void handleAnnouncement(servers_state &state, const server_announced &message, base::clock_time now,
                        action_list &actions)
{
    const server_announcement &announcement = message.announcement;
    if (announcement.service != state.service) {
        actions.emplace_back(
            reject_announcement {message.request, mismatchOf(state, announcement)});
        return;
    }
    if (!isStale(state, announcement, now)) {
        const bool isNewIncarnation
            = !state.current || !announcement.isSameIncarnationAs(*state.current);
        // A server that was only silent counts as a new incarnation too, because other nodes have
        // seen the current one drain, and a drained incarnation never serves again.
        const bool hasResumed = !isNewIncarnation && state.isUnavailable && !announcement.isDraining
            && !state.current->isDraining;
        state.starts += isNewIncarnation ? 1 : 0;
        if (isNewIncarnation || hasResumed)
            startIncarnation(state, announcement);
        const bool isDraining = announcement.isDraining
            || (state.current && state.current->isSameIncarnationAs(announcement)
                && state.current->isDraining);
        state.current = std::make_shared<const server_announcement>(server_announcement {
            announcement.identity, announcement.startedAt, announcement.sequence,
            announcement.service, isDraining, announcement.slots, announcement.warmupRemaining});
        state.isUnavailable = state.isUnavailable || isDraining;
        state.isServerStopping = false;
        state.lastHeard = now;
        publishWarmup(state, announcement.warmupRemaining, now, actions);
        publishStatus(state, actions);
    }
    actions.emplace_back(confirm_announcement {message.request});
}

void handleStopping(servers_state &state, const server_stopping &message, action_list &actions)
{
    if (state.current && state.current->identity == message.identity) {
        state.isUnavailable = true;
        state.isServerStopping = true;
        publishStatus(state, actions);
    }
    actions.emplace_back(confirm_announcement {message.request});
}

// The status in the view applies until the server announces itself, so that an agent that is
// restarted beside a serving server accepts flows without waiting for the next announcement.
void handleRestored(servers_state &state, const server_restored &message, base::clock_time now,
                    action_list &actions)
{
    if (state.current || state.published || state.isAgentStopping)
        return;
    state.incarnation
        = std::max(state.incarnation, base::incarnation(message.incarnation.value() + 1));
    state.restoredAt = now;
    state.isRestored = true;
    state.published = std::make_shared<const server_status>(
        server_status {state.incarnation, true, message.slots, true});
    actions.emplace_back(*state.published);
}

// A server whose status came from the view and that has not announced itself in time no longer
// exists.
void expireRestored(servers_state &state, action_list &actions)
{
    state.isRestored = false;
    state.published = std::make_shared<const server_status>(
        server_status {state.published->incarnation, false, state.published->slots, true});
    actions.emplace_back(*state.published);
}

void handleTick(servers_state &state, base::clock_time now, action_list &actions)
{
    if (state.isRestored && now - state.restoredAt >= restoredTimeout)
        expireRestored(state, actions);
    if (!state.current || now - state.lastHeard < announcementTimeout)
        return;
    state.isUnavailable = true;
    publishStatus(state, actions);
}

} // namespace

base::step<servers_state, server_action> decide(servers_state state, const server_message &message,
                                                base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(
            base::overloaded {
                [&](const server_announced &m) { handleAnnouncement(state, m, now, actions); },
                [&](const server_stopping &m) { handleStopping(state, m, actions); },
                [&](const server_restored &m) { handleRestored(state, m, now, actions); },
                [&](const incarnation_changed &taken) {
                    state.incarnation = std::max(state.incarnation, taken.incarnation);
                    publishStatus(state, actions);
                },
                [&](const agent_stopping &) {
                    state.isAgentStopping = true;
                    if (state.isRestored)
                        expireRestored(state, actions);
                    publishStatus(state, actions);
                },
                [&](const servers_tick &) { handleTick(state, now, actions); },
            },
            message);
    });
    return {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::servers
