#include "lycheeshunt/http/internal/connection_decision.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"

#include <algorithm>

namespace lycheeshunt::http::internal {

namespace {

using action_list = std::vector<connection_action>;
using connection_map = std::map<connection_id, connection_record>;

bool isReceiving(const connection_record &record)
{
    return record.phase == connection_phase::silent || record.phase == connection_phase::header
        || record.phase == connection_phase::body;
}

bool isAnswered(const connection_record &record)
{
    return record.phase == connection_phase::idle || record.phase == connection_phase::closing;
}

template <typename predicate>
std::size_t countOf(const connection_map &connections, predicate isCounted)
{
    return static_cast<std::size_t>(std::count_if(
        connections.begin(), connections.end(),
        [&](const connection_map::value_type &each) { return isCounted(each.second); }));
}

template <typename predicate>
connection_map::const_iterator oldestOf(const connection_map &connections, predicate isCandidate)
{
    connection_map::const_iterator oldest = connections.end();
    for (auto it = connections.begin(); it != connections.end(); ++it) {
        const bool isOlder = oldest == connections.end() || it->second.since < oldest->second.since;
        if (isOlder && isCandidate(it->second))
            oldest = it;
    }
    return oldest;
}

// Returns whether there was a connection to evict.
bool evict(connection_state &state, connection_map::const_iterator victim, eviction_reason reason,
           base::clock_time now, action_list &actions)
{
    if (victim == state.connections.end())
        return false;
    const connection_record &record = victim->second;
    actions.emplace_back(
        evict_connection {victim->first, reason, record.address, record.phase, now - record.since});
    state.connections.erase(victim);
    return true;
}

// The connection to close among those that share room for so many.
template <typename predicate>
connection_map::const_iterator victimOf(const connection_map &connections, std::size_t room,
                                        predicate isSharing)
{
    const auto isShareAnswered
        = [&](const connection_record &record) { return isSharing(record) && isAnswered(record); };
    const auto isShareReceiving
        = [&](const connection_record &record) { return isSharing(record) && isReceiving(record); };
    const connection_map::const_iterator receiving = oldestOf(connections, isShareReceiving);
    const std::size_t maxAnswered = room - room / 4;
    return receiving == connections.end() || countOf(connections, isShareAnswered) > maxAnswered
        ? oldestOf(connections, isShareAnswered)
        : receiving;
}

void open(connection_state &state, const connection_opened &message, base::clock_time now,
          action_list &actions)
{
    const connection_limits &limits = *state.limits;
    const auto isSameAddress
        = [&message](const connection_record &record) { return record.address == message.address; };
    const auto isAny = [](const connection_record &) { return true; };
    if (countOf(state.connections, isSameAddress) >= limits.connectionsPerAddress)
        evict(state, victimOf(state.connections, limits.connectionsPerAddress, isSameAddress),
              eviction_reason::connectionsPerAddress, now, actions);
    if (state.connections.size() >= limits.connections
        && !evict(state, victimOf(state.connections, limits.connections, isAny),
                  eviction_reason::connections, now, actions)) {
        actions.emplace_back(refuse_connection {message.connection, message.address});
        return;
    }
    state.connections.emplace(message.connection,
                              connection_record {message.address, connection_phase::silent, now,
                                                 now + limits.idleTimeout});
}

void replace(connection_map &connections, connection_map::iterator found,
             const connection_record &record)
{
    const connection_id connection = found->first;
    connections.emplace_hint(connections.erase(found), connection, record);
}

std::optional<base::clock_time> timeoutOf(const connection_limits &limits, connection_phase phase)
{
    switch (phase) {
    case connection_phase::silent:
    case connection_phase::idle:
        return limits.idleTimeout;
    case connection_phase::header:
        return limits.headerTimeout;
    case connection_phase::body:
        return limits.bodyTimeout;
    case connection_phase::answering:
        return std::nullopt;
    case connection_phase::writing:
        return limits.writeTimeout;
    case connection_phase::closing:
        return limits.discardTimeout;
    }
    return std::nullopt;
}

void enter(connection_state &state, const phase_entered &message, base::clock_time now)
{
    const connection_map::iterator found = state.connections.find(message.connection);
    if (found == state.connections.end())
        return;
    const connection_record &before = found->second;
    // The first bytes of a header are no progress: a caller can send them one by one.
    const bool isProgress = before.phase != connection_phase::silent;
    const std::optional<base::clock_time> timeout = timeoutOf(*state.limits, message.phase);
    replace(state.connections, found,
            connection_record {before.address, message.phase, isProgress ? now : before.since,
                               timeout ? std::optional<base::clock_time>(now + *timeout)
                                       : std::nullopt});
}

void expectBody(connection_state &state, const body_expected &message, base::clock_time now,
                action_list &actions)
{
    const connection_map::iterator found = state.connections.find(message.connection);
    if (found == state.connections.end())
        return;
    const std::uint32_t address = found->second.address;
    state.connections.erase(found);
    std::size_t used = message.bytes;
    for (auto it = state.connections.begin(); it != state.connections.end(); ++it)
        used += it->second.bodyBytes;
    while (used > state.limits->bodyBytes) {
        const connection_map::const_iterator victim = oldestOf(
            state.connections, [](const connection_record &each) { return each.bodyBytes > 0; });
        if (victim == state.connections.end())
            break;
        used -= victim->second.bodyBytes;
        evict(state, victim, eviction_reason::bodyBytes, now, actions);
    }
    state.connections.emplace(message.connection,
                              connection_record {address, connection_phase::body, now,
                                                 now + state.limits->bodyTimeout, message.bytes});
}

void noteProgress(connection_state &state, const body_progressed &message, base::clock_time now)
{
    const connection_map::iterator found = state.connections.find(message.connection);
    if (found == state.connections.end())
        return;
    const connection_record &before = found->second;
    replace(
        state.connections, found,
        connection_record {before.address, before.phase, now, before.deadline, before.bodyBytes});
}

void releaseDescriptor(connection_state &state, base::clock_time now, action_list &actions)
{
    evict(state,
          victimOf(state.connections, state.connections.size(),
                   [](const connection_record &) { return true; }),
          eviction_reason::descriptors, now, actions);
}

void expire(connection_state &state, base::clock_time now, action_list &actions)
{
    for (auto it = state.connections.begin(); it != state.connections.end();) {
        const connection_record &record = it->second;
        if (!record.deadline || now < *record.deadline) {
            ++it;
            continue;
        }
        actions.emplace_back(expire_connection {it->first, record.address, record.phase});
        it = state.connections.erase(it);
    }
}

} // namespace

const char *textOf(connection_phase phase)
{
    switch (phase) {
    case connection_phase::silent:
        return "silent";
    case connection_phase::header:
        return "header";
    case connection_phase::body:
        return "body";
    case connection_phase::answering:
        return "answering";
    case connection_phase::writing:
        return "writing";
    case connection_phase::idle:
        return "idle";
    case connection_phase::closing:
        return "closing";
    }
    return "unknown";
}

const char *textOf(eviction_reason reason)
{
    switch (reason) {
    case eviction_reason::connectionsPerAddress:
        return "connections_per_address";
    case eviction_reason::connections:
        return "connections";
    case eviction_reason::descriptors:
        return "descriptors";
    case eviction_reason::bodyBytes:
        return "body_bytes";
    }
    return "unknown";
}

base::step<connection_state, connection_action>
decide(connection_state state, const connection_message &message, base::clock_time now)
{
    action_list actions;
    const std::optional<base::error> fault = base::faultOf([&]() {
        std::visit(
            base::overloaded {
                [&](const connection_opened &m) { open(state, m, now, actions); },
                [&](const phase_entered &m) { enter(state, m, now); },
                [&](const body_expected &m) { expectBody(state, m, now, actions); },
                [&](const body_progressed &m) { noteProgress(state, m, now); },
                [&](const connection_ended &m) { state.connections.erase(m.connection); },
                [&](const descriptors_exhausted &) { releaseDescriptor(state, now, actions); },
                [&](const time_passed &) { expire(state, now, actions); },
            },
            message);
    });
    return {std::move(state), std::move(actions), fault};
}

} // namespace lycheeshunt::http::internal
