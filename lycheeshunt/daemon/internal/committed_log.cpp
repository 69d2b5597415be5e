#include "lycheeshunt/daemon/internal/committed_log.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/daemon/internal/control_log.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/evacuations/evacuation_duty.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/replication/state_restored.h"
#include "lycheeshunt/states/codec.h"
#include "lycheeshunt/states/state_duty.h"
#include "lycheeshunt/tickets/codec.h"
#include "lycheeshunt/tickets/ticket_duty.h"

#include <algorithm>
#include <optional>

namespace lycheeshunt::daemon::internal {

namespace {

// Batches of this size or more arrive only after a restart or a long disconnection.
constexpr std::size_t catchUpEntries = 8;

states::shared_state stateFrom(const std::string &payload)
{
    if (payload.empty())
        return {};
    const base::result<states::shared_state> state = states::decodeState(payload);
    if (const base::error *failure = base::errorOf(state)) {
        base::logError("states", "committed desired state can't be decoded: " + failure->text());
        return {};
    }
    return base::valueOf(state);
}

states::undecodable_state_committed undecodableFrom(const std::string &payload)
{
    const base::result<std::uint64_t> version = states::versionOf(payload);
    if (!base::isOk(version))
        return states::undecodable_state_committed {};
    return states::undecodable_state_committed {base::valueOf(version)};
}

std::optional<membership::membership_batch> batchFrom(const std::string &payload)
{
    if (payload.empty())
        return std::nullopt;
    const base::result<membership::membership_batch> batch = membership::decodeBatch(payload);
    if (const base::error *failure = base::errorOf(batch)) {
        base::logError("membership",
                       "committed membership batch can't be decoded: " + failure->text());
        return std::nullopt;
    }
    return base::valueOf(batch);
}

std::vector<evacuations::evacuation_order> ordersFrom(const std::vector<std::string> &payloads)
{
    std::vector<evacuations::evacuation_order> orders;
    for (const std::string &payload : payloads) {
        const base::result<evacuations::evacuation_order> order = evacuations::decodeOrder(payload);
        if (const base::error *failure = base::errorOf(order))
            base::logError("evacuations",
                           "committed evacuation order can't be decoded: " + failure->text());
        else
            orders.push_back(base::valueOf(order));
    }
    return orders;
}

bool isTicket(const replication::log_entry &entry)
{
    return entry.kind == replication::entry_kind::ticket;
}

bool isEvacuation(const replication::log_entry &entry)
{
    return entry.kind == replication::entry_kind::evacuation;
}

} // namespace

void committed_log::deliver(const std::vector<replication::log_entry> &entries)
{
    const bool isMerged = isMergeable(entries);
    m_hasDelivered = true;
    if (!isMerged) {
        for (const replication::log_entry &entry : entries)
            deliverEntry(entry);
        return;
    }
    std::vector<replication::log_entry> newEntries;
    for (const replication::log_entry &entry : entries) {
        if (entry.index <= m_deliveredTo)
            continue;
        m_deliveredTo = entry.index;
        m_compaction.trackMembers(entry);
        newEntries.push_back(entry);
    }
    const tickets::other_committed merged = log_compaction::merge(newEntries);
    if (merged.at != base::generation())
        m_followers.tickets.inbox().push(merged);
}

bool committed_log::isMergeable(const std::vector<replication::log_entry> &entries) const
{
    // Tickets are applied one by one: each number has its own answer.
    if (std::any_of(entries.begin(), entries.end(), isTicket))
        return false;
    // The first entries after a start hold what was in force before it. A node that got the view
    // between two of them would serve in a zone that is evacuated.
    const bool restoresEvacuations = !m_hasDelivered && entries.size() > 1
        && std::any_of(entries.begin(), entries.end(), isEvacuation);
    return entries.size() >= catchUpEntries || restoresEvacuations;
}

void committed_log::restore(const replication::state_restored &restored)
{
    for (const replication::log_entry &entry : restored.entries)
        deliverEntry(m_compaction.withRemovals(entry));
    m_deliveredTo = std::max(m_deliveredTo, restored.at);
}

std::vector<replication::log_entry>
committed_log::compact(const std::vector<replication::log_entry> &entries) const
{
    return m_compaction.compact(entries);
}

void committed_log::deliverEntry(const replication::log_entry &entry)
{
    // A VM whose disk failed replays entries that have been delivered already.
    if (entry.index <= m_deliveredTo)
        return;
    m_deliveredTo = entry.index;
    m_compaction.trackMembers(entry);
    if (isTicket(entry)) {
        const base::result<tickets::ticket> ticket = tickets::decodeTicket(entry.payload);
        if (const base::error *failure = base::errorOf(ticket))
            base::logError("tickets", "committed ticket can't be decoded: " + failure->text());
        else if (const tickets::ticket *known = std::get_if<tickets::ticket>(&ticket))
            m_followers.tickets.inbox().push(tickets::ticket_committed {
                tickets::ticket_record {*known, entry.index, entry.acceptedAt}});
    } else if (entry.kind == replication::entry_kind::state) {
        m_followers.tickets.inbox().push(tickets::other_committed {entry.index, {}, entry.payload});
    } else if (entry.kind == replication::entry_kind::membership) {
        m_followers.tickets.inbox().push(tickets::other_committed {entry.index, entry.payload});
    } else if (entry.kind == replication::entry_kind::evacuation) {
        m_followers.tickets.inbox().push(
            tickets::other_committed {entry.index, {}, {}, false, {entry.payload}});
    }
}

// A direct push to the thread that reads would overtake the entries.
void committed_log::completeStateRead(base::request_id request,
                                      const std::optional<base::error> &failure)
{
    m_followers.tickets.inbox().push(tickets::other_read_outcome {request, failure});
}

void committed_log::completeCatchUp(std::uint64_t term)
{
    m_followers.tickets.inbox().push(tickets::other_caught_up {term});
}

bool committed_log::apply(const tickets::other_caught_up &caughtUp)
{
    return m_followers.publisher.inbox().push(dissemination::log_caught_up {caughtUp.term});
}

void committed_log::completeEvacuationRead(base::request_id request,
                                           const std::optional<base::error> &failure)
{
    m_followers.tickets.inbox().push(tickets::other_read_outcome {request, failure, true});
}

bool committed_log::apply(const tickets::other_read_outcome &read)
{
    if (read.isOfEvacuations)
        return m_followers.evacuations.inbox().push(
            evacuations::read_outcome {read.request, read.failure});
    return m_followers.states.inbox().push(states::read_outcome {read.request, read.failure});
}

bool committed_log::apply(const tickets::other_committed &other)
{
    const states::shared_state state = stateFrom(other.state);
    const std::optional<membership::membership_batch> batch = batchFrom(other.batch);
    const std::vector<evacuations::evacuation_order> orders = ordersFrom(other.evacuations);
    if (state)
        base::logEvent("states", "in_log",
                       {{"version", std::to_string(state->version)},
                        {"generation", std::to_string(other.at.value())},
                        {"routes", std::to_string(state->routes.size())},
                        {"merged", other.isMerged ? "yes" : "no"}});
    if (batch && other.isMerged)
        base::logEvent("membership", "caught_up",
                       {{"generation", std::to_string(other.at.value())},
                        {"members", std::to_string(batch->updated.size())},
                        {"gone", std::to_string(batch->removed.size())}});
    else if (batch)
        logBatch(other.at, *batch);
    if (other.isMerged) {
        m_followers.publisher.inbox().push(
            dissemination::entries_merged {other.at, batch, state, orders});
    } else if (state) {
        m_followers.publisher.inbox().push(dissemination::state_applied {other.at, state});
    } else if (batch) {
        m_followers.publisher.inbox().push(dissemination::batch_applied {other.at, *batch});
    } else if (!orders.empty()) {
        m_followers.publisher.inbox().push(
            dissemination::evacuation_applied {other.at, orders.front()});
    }
    if (batch)
        m_followers.membership.inbox().push(membership::batch_committed {*batch});
    if (state)
        m_followers.states.inbox().push(states::state_committed {state});
    else if (!other.state.empty())
        m_followers.states.inbox().push(undecodableFrom(other.state));
    // The last order of each zone follows those that it replaces.
    for (const evacuations::evacuation_order &order : ordersFrom(other.replacedEvacuations))
        m_followers.evacuations.inbox().push(evacuations::order_committed {other.at, order});
    for (const evacuations::evacuation_order &order : orders)
        m_followers.evacuations.inbox().push(evacuations::order_committed {other.at, order});
    return true;
}

} // namespace lycheeshunt::daemon::internal
