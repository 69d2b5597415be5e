#include "lycheeshunt/replication/replication_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/tick_schedule.h"
#include "lycheeshunt/replication/codec.h"

namespace lycheeshunt::replication {

namespace {

constexpr std::size_t inboxCapacity = 1024;
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(25);
// Limit on the proposals that are merged into one write. They queue up while the disk syncs.
constexpr std::size_t maxBatchedProposals = 256;
// Shorter than an election timeout, so that a recovered disk does not extend the outage noticeably.
constexpr base::clock_time recoveryInterval = base::clock_time::ofMillis(500);

void logLeadership(const leadership &leadership)
{
    const std::string term = "term " + std::to_string(leadership.term) + ": ";
    if (leadership.isLeader)
        base::logInfo("replication", term + "this VM leads");
    else if (leadership.leaderName.empty())
        base::logInfo("replication", term + "no leader");
    else
        base::logInfo("replication", term + leadership.leaderName + " leads");
}

} // namespace

replication_duty::replication_duty(replica_state state, replica_storage storage,
                                   replication_hooks hooks)
    : m_state(std::move(state)), m_storage(std::move(storage)), m_hooks(std::move(hooks)),
      m_inbox(inboxCapacity), m_thread([this]() { run(); })
{
}

replication_duty::~replication_duty()
{
    stop();
}

void replication_duty::stop()
{
    m_inbox.close();
    if (m_thread.joinable())
        m_thread.join();
}

void replication_duty::run()
{
    if (const snapshot *taken = m_state.latestSnapshot.get())
        restoreFrom(*taken);
    base::tick_schedule ticks(tickInterval, base::clock_time::steady());
    while (!m_inbox.isClosed()) {
        const std::optional<replica_message> message
            = m_inbox.popFor(ticks.waitAt(base::clock_time::steady()));
        ticks.noteMessage(message.has_value());
        if (message)
            base::runGuarded("replication", [&]() { handle(*message); });
        const base::clock_time now = base::clock_time::steady();
        if (ticks.isDue(now)) {
            base::runGuarded("replication", [&]() {
                step(replica_tick {});
                compactIfDue();
                recoverIfDue(now);
            });
            ticks.noteTick(now, m_inbox.depth());
        }
    }
}

void replication_duty::handle(const replica_message &message)
{
    const propose_entries *first = std::get_if<propose_entries>(&message);
    if (first == nullptr) {
        step(message);
        return;
    }
    std::vector<proposal> batch = first->proposals;
    while (batch.size() < maxBatchedProposals) {
        const std::optional<replica_message> next = m_inbox.tryPop();
        const propose_entries *further = next ? std::get_if<propose_entries>(&*next) : nullptr;
        if (further == nullptr) {
            step(propose_entries {std::move(batch)});
            if (next)
                step(*next);
            return;
        }
        for (const proposal &added : further->proposals)
            batch.push_back(added);
    }
    step(propose_entries {std::move(batch)});
}

void replication_duty::step(const replica_message &message)
{
    base::step<replica_state, replica_action> next
        = decide(std::move(m_state), message, base::clock_time::steady());
    m_state = std::move(next.state);
    base::reportFault("replication", next.fault);
    const std::optional<base::error> failure = next.fault ? next.fault : performAll(next.actions);
    // What the state holds and what the disk holds may differ: this VM begins again from its disk.
    if (failure && !std::holds_alternative<storage_failure>(message))
        step(storage_failure {*failure});
}

std::optional<base::error> replication_duty::performAll(const std::vector<replica_action> &actions)
{
    for (const replica_action &action : actions) {
        std::optional<base::error> failure;
        const std::optional<base::error> fault = base::faultOf([&]() {
            if (const std::optional<base::error> failed = perform(action))
                failure.emplace(*failed);
        });
        base::reportFault("replication", fault);
        if (failure)
            base::logError("replication", "storage failed: " + failure->text());
        if (fault || failure)
            return fault ? fault : failure;
    }
    return std::nullopt;
}

std::optional<base::error> replication_duty::perform(const replica_action &action)
{
    using outcome = std::optional<base::error>;
    const auto forward = [this](const auto &notice) {
        publish(notice);
        return outcome();
    };
    return std::visit(
        base::overloaded {
            [this](const peer_envelope &envelope) {
                m_hooks.send(envelope);
                return outcome();
            },
            [this](const send_to_address &message) {
                m_hooks.sendToAddress(message);
                return outcome();
            },
            [this](const set_peer_address &update) {
                m_hooks.setAddress(update);
                return outcome();
            },
            [this](const hard_state &hard) { return m_storage.persist(hard); },
            [this](const truncate_log &truncation) { return m_storage.persist(truncation); },
            [this](const persist_entries &entries) {
                for (const log_entry &entry : entries.entries)
                    m_bytesSinceSnapshot += entry.payload.size();
                const base::clock_time started = base::clock_time::steady();
                std::optional<base::error> failure = m_storage.persist(entries);
                m_writes.record(base::clock_time::steady() - started);
                return failure;
            },
            [this](const persist_snapshot &taken) { return install(taken); },
            [&](const leadership_changed &changed) {
                logLeadership(changed.leadership);
                return forward(changed);
            },
            forward,
        },
        action);
}

std::optional<base::error> replication_duty::install(const persist_snapshot &action)
{
    std::optional<base::error> failure = m_storage.persist(action);
    if (!failure && action.isInstalled)
        restoreFrom(*action.snapshot);
    return failure;
}

void replication_duty::restoreFrom(const snapshot &taken)
{
    const base::result<std::vector<log_entry>> entries = decodeEntries(taken.entries);
    if (const base::error *failure = base::errorOf(entries))
        base::logError("replication", "snapshot cannot be decoded: " + failure->text());
    else
        publish(state_restored {taken.index, base::valueOf(entries)});
}

void replication_duty::compactIfDue()
{
    if (std::holds_alternative<failed_role>(m_state.role))
        return;
    const base::generation start = m_state.log.baseIndex();
    const std::uint64_t applied = m_state.commit.value() - start.value();
    const replica_bounds &bounds = m_state.settings->bounds;
    const bool isLarge = applied > 0 && m_bytesSinceSnapshot >= bounds.compactAfterBytes;
    if ((applied < bounds.compactAfterEntries && !isLarge) || m_state.commit < m_nextSnapshot)
        return;
    m_bytesSinceSnapshot = 0;
    const shared_snapshot earlier = m_state.latestSnapshot;
    base::result<std::vector<log_entry>> snapshotEntries
        = decodeEntries(earlier ? earlier->entries : "");
    if (const base::error *failure = base::errorOf(snapshotEntries)) {
        base::logError("replication", "snapshot cannot be decoded: " + failure->text());
        m_nextSnapshot = base::generation(m_state.commit.value() + applied);
        return;
    }
    std::vector<log_entry> entries = base::takeValue(std::move(snapshotEntries));
    for (const log_entry &entry : m_state.log.between(start, m_state.commit))
        entries.push_back(entry);
    step(snapshot_taken {m_state.commit, encodeEntries(m_hooks.compact(entries))});
}

void replication_duty::recoverIfDue(base::clock_time now)
{
    if (!std::holds_alternative<failed_role>(m_state.role) || now < m_nextRecovery)
        return;
    m_nextRecovery = now + recoveryInterval;
    base::result<replica_storage> reopened = m_hooks.reopen();
    if (const base::error *failure = base::errorOf(reopened)) {
        base::logWarning("replication", "cannot reopen the storage: " + failure->text());
        return;
    }
    replica_storage storage = base::takeValue(std::move(reopened));
    if (const std::optional<base::error> failure = storage.probe()) {
        base::logWarning("replication", "the storage takes no writes yet: " + failure->text());
        return;
    }
    m_storage = std::move(storage);
    m_state = resumeReplica(m_state, m_storage.recovered(), ++m_recoveries, now);
    m_storage.releaseRecovered();
    // The write of a leader's snapshot may have failed after the rename, before it was published.
    if (const snapshot *taken = m_state.latestSnapshot.get())
        restoreFrom(*taken);
    if (m_state.isFormed())
        publish(members_changed {m_state.members()});
    base::logInfo(
        "replication",
        "storage takes writes again; this VM takes part again from the contents of its disk");
}

} // namespace lycheeshunt::replication
