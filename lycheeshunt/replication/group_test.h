// A group of replicas simulated in virtual time, for the tests of this slice. Depending on a random
// seed, messages are lost, delayed, duplicated and reordered. Every replica keeps its files in
// memory, where each write can be made to fail. A failed replica begins again like that of a
// replication_duty, if this is asked for.

#pragma once

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/decision.h"
#include "lycheeshunt/replication/replica_storage.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <set>

namespace lycheeshunt::replication {

// Whether the members are listed in the settings or found through seeds.
enum class group_kind { listed, open };

class replica_group
{
public:
    struct node
    {
        std::string name;
        std::unique_ptr<replica_storage> storage;
        replica_state state;
        bool isUp = false;
        // Entries passed to its duties since it was started, keyed by index.
        std::map<std::uint64_t, log_entry> applied;
        std::uint64_t appliedTo = 0;
        base::clock_time nextRecovery;
        std::vector<replica_action> notices;
        std::uint64_t greatestTerm = 0;
    };

    replica_group(std::size_t size, std::uint32_t seed, replica_bounds bounds = {},
                  group_kind kind = group_kind::listed)
        : m_bounds(bounds), m_kind(kind), m_random(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_names.push_back("control-" + std::to_string(i + 1));
        for (const std::string &name : m_names) {
            m_nodes.emplace_back();
            m_nodes.back().name = name;
        }
        for (std::size_t i = 0; i < size; ++i)
            startWithEmptyDisk(i);
    }

    std::size_t size() const { return m_nodes.size(); }
    node &at(std::size_t i) { return m_nodes.at(i); }
    base::clock_time now() const { return m_now; }

    void startWithEmptyDisk(std::size_t i)
    {
        m_nodes.at(i).greatestTerm = 0;
        start(i, memory_files());
    }

    void start(std::size_t i, memory_files files)
    {
        node &started = m_nodes.at(i);
        base::result<replica_storage> storage
            = replica_storage::open(std::move(files), storage_id(++m_lastStorage));
        started.isUp = base::isOk(storage);
        if (!started.isUp) {
            m_violations.push_back(started.name + ": " + base::errorOf(storage)->text());
            return;
        }
        started.storage = std::make_unique<replica_storage>(base::takeValue(std::move(storage)));
        const bool isOpen = m_kind == group_kind::open;
        std::vector<base::endpoint> seeds;
        for (std::size_t seed = 0; isOpen && seed < size(); ++seed)
            seeds.push_back(streamsOf(seed));
        started.state = startReplica(std::make_shared<const replica_settings>(replica_settings {
                                         started.name,
                                         m_names,
                                         base::endpoint {1, static_cast<std::uint16_t>(i + 1)},
                                         {},
                                         m_bounds,
                                         isOpen ? streamsOf(i) : base::endpoint {},
                                         seeds}),
                                     started.storage->recovered(),
                                     static_cast<std::uint32_t>(m_random()), m_now);
        started.applied.clear();
        started.appliedTo = 0;
        if (started.state.latestSnapshot)
            restore(started, *started.state.latestSnapshot);
    }

    memory_files &files(std::size_t i)
    {
        // replica_storage gives read access only; the tests inject failures into its files.
        return const_cast<memory_files &>(std::get<memory_files>(m_nodes.at(i).storage->files()));
    }

    void stop(std::size_t i) { m_nodes.at(i).isUp = false; }

    void crash(std::size_t i, crash_loss loss)
    {
        stop(i);
        m_crashed[i] = files(i).afterCrash(loss);
    }

    void restart(std::size_t i) { start(i, m_crashed.at(i)); }

    // Drops messages in this direction only.
    void blockLink(std::size_t from, std::size_t to) { m_blockedLinks.insert({from, to}); }
    void isolate(std::size_t i)
    {
        for (std::size_t other = 0; other < size(); ++other) {
            blockLink(i, other);
            blockLink(other, i);
        }
    }
    void unblockLinks() { m_blockedLinks.clear(); }
    // Percentage of messages that are lost and of those that are duplicated; it also increases the
    // delays.
    void setFaultPercent(std::uint32_t percent) { m_faultPercent = percent; }
    // From now on, the storage of a failed replica is reopened every 500 ms.
    void recoverInPlace() { m_recoversInPlace = true; }

    // Advances virtual time in steps of 10 ms.
    void run(std::int64_t millis)
    {
        constexpr std::int64_t stepMillis = 10;
        for (std::int64_t passed = 0; passed < millis; passed += stepMillis) {
            m_now = m_now + base::clock_time::ofMillis(stepMillis);
            deliver();
            for (std::size_t i = 0; i < size(); ++i) {
                dispatch(i, replica_tick {});
                recoverIfDue(i);
            }
        }
    }

    bool runUntil(const std::function<bool()> &isDone, std::int64_t maxMillis = 30'000)
    {
        constexpr std::int64_t stepMillis = 10;
        for (std::int64_t passed = 0; passed < maxMillis && !isDone(); passed += stepMillis)
            run(stepMillis);
        return isDone();
    }

    std::optional<std::size_t> leader()
    {
        std::optional<std::size_t> found;
        for (std::size_t i = 0; i < size(); ++i) {
            const bool leads
                = m_nodes[i].isUp && std::holds_alternative<leader_role>(m_nodes[i].state.role);
            if (leads && (!found || m_nodes[i].state.term > m_nodes[*found].state.term))
                found = i;
        }
        return found;
    }

    std::size_t awaitLeader()
    {
        const bool isLed = runUntil([this]() {
            const std::optional<std::size_t> found = leader();
            return found
                && m_nodes[*found].state.commit
                >= std::get<leader_role>(m_nodes[*found].state.role).firstIndexOfTerm;
        });
        if (!isLed)
            m_violations.push_back("no leader");
        return leader().value_or(0);
    }

    void propose(std::size_t i, const std::string &payload)
    {
        dispatch(i, propose_entries {{proposal {entry_kind::ticket, payload}}});
    }

    void dispatch(std::size_t i, const replica_message &message)
    {
        node &receiver = m_nodes.at(i);
        if (!receiver.isUp)
            return;
        base::step<replica_state, replica_action> next
            = decide(std::move(receiver.state), message, m_now);
        receiver.state = std::move(next.state);
        for (const replica_action &action : next.actions) {
            if (!perform(i, action))
                return;
        }
        // A term whose sync failed was not sent to anyone, so it may be lost.
        if (std::holds_alternative<failed_role>(receiver.state.role))
            return;
        if (receiver.state.term < receiver.greatestTerm)
            m_violations.push_back(receiver.name + ": term decreased");
        receiver.greatestTerm = receiver.state.term;
    }

    bool hasApplied(std::size_t i, const std::string &payload)
    {
        for (auto it = m_nodes.at(i).applied.begin(); it != m_nodes.at(i).applied.end(); ++it) {
            if (it->second.payload == payload)
                return true;
        }
        return false;
    }

    // Entries that any replica has ever applied, keyed by index.
    const std::map<std::uint64_t, log_entry> &everApplied() const { return m_everApplied; }
    // Violated invariants so far.
    const std::vector<std::string> &violations() const { return m_violations; }

    std::string firstViolation() const { return m_violations.empty() ? "" : m_violations.front(); }

    // Takes a snapshot of all applied entries.
    void compact(std::size_t i)
    {
        node &compacted = m_nodes.at(i);
        std::vector<log_entry> entries;
        for (auto it = compacted.applied.begin(); it != compacted.applied.end(); ++it) {
            if (it->second.kind == entry_kind::ticket)
                entries.push_back(it->second);
        }
        dispatch(i, snapshot_taken {compacted.state.commit, encodeEntries(entries)});
    }

private:
    struct in_flight_message
    {
        base::clock_time arrival;
        std::size_t to;
        peer_envelope envelope;
    };

    static base::endpoint streamsOf(std::size_t i)
    {
        return base::endpoint {2, static_cast<std::uint16_t>(i + 1)};
    }

    std::size_t indexOf(base::node_id id) const
    {
        for (std::size_t i = 0; i < m_names.size(); ++i) {
            if (base::nodeIdOf(m_names[i]) == id)
                return i;
        }
        return m_names.size();
    }

    void send(std::size_t from, std::size_t to, const peer_envelope &envelope)
    {
        if (m_blockedLinks.count({from, to}) != 0 || m_random() % 100 < m_faultPercent)
            return;
        const std::size_t copies = m_random() % 100 < m_faultPercent ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i) {
            const std::int64_t delay
                = 1 + static_cast<std::int64_t>(m_random() % (10 + 4 * m_faultPercent));
            m_inFlight.push_back({m_now + base::clock_time::ofMillis(delay), to, envelope});
        }
    }

    void sendToAddress(std::size_t from, const send_to_address &greeting)
    {
        for (std::size_t to = 0; to < size(); ++to) {
            if (streamsOf(to) == greeting.to)
                send(from, to, greeting.envelope);
        }
    }

    void deliver()
    {
        std::list<in_flight_message> due;
        for (auto it = m_inFlight.begin(); it != m_inFlight.end();) {
            const auto next = std::next(it);
            if (it->arrival <= m_now)
                due.splice(due.end(), m_inFlight, it);
            it = next;
        }
        for (const in_flight_message &message : due)
            dispatch(message.to, message.envelope);
    }

    bool perform(std::size_t i, const replica_action &action)
    {
        node &self = m_nodes.at(i);
        if (const peer_envelope *envelope = std::get_if<peer_envelope>(&action))
            send(i, indexOf(envelope->to.node), *envelope);
        else if (const send_to_address *greeting = std::get_if<send_to_address>(&action))
            sendToAddress(i, *greeting);
        else if (const commit_entries *committed = std::get_if<commit_entries>(&action))
            apply(self, committed->entries);
        else if (const std::optional<base::error> failure = persist(self, action)) {
            dispatch(i, storage_failure {*failure});
            return false;
        }
        if (const persist_snapshot *taken = std::get_if<persist_snapshot>(&action)) {
            if (taken->isInstalled)
                restore(self, *taken->snapshot);
        }
        return true;
    }

    // Persists the action if it is a write; otherwise records it as a notice.
    static std::optional<base::error> persist(node &self, const replica_action &action)
    {
        using outcome = std::optional<base::error>;
        return std::visit(
            base::overloaded {
                [&](const hard_state &write) { return self.storage->persist(write); },
                [&](const truncate_log &write) { return self.storage->persist(write); },
                [&](const persist_entries &write) { return self.storage->persist(write); },
                [&](const persist_snapshot &write) { return self.storage->persist(write); },
                [](const set_peer_address &) { return outcome(); },
                [&](const auto &notice) {
                    self.notices.emplace_back(notice);
                    return outcome();
                },
            },
            action);
    }

    void recoverIfDue(std::size_t i)
    {
        node &failed = m_nodes.at(i);
        const bool isFailed = failed.isUp && std::holds_alternative<failed_role>(failed.state.role);
        if (!m_recoversInPlace || !isFailed || m_now < failed.nextRecovery)
            return;
        failed.nextRecovery = m_now + base::clock_time::ofMillis(500);
        base::result<replica_storage> reopened
            = replica_storage::open(files(i), storage_id(++m_lastStorage));
        replica_storage *storage = std::get_if<replica_storage>(&reopened);
        if (storage == nullptr && base::errorOf(reopened)->code == base::error_code::logCorrupt)
            m_violations.push_back(failed.name + ": " + base::errorOf(reopened)->text());
        if (storage == nullptr || storage->probe())
            return;
        failed.storage = std::make_unique<replica_storage>(std::move(*storage));
        failed.state = resumeReplica(failed.state, failed.storage->recovered(),
                                     static_cast<std::uint32_t>(m_random()), m_now);
        if (failed.state.latestSnapshot)
            restore(failed, *failed.state.latestSnapshot);
    }

    void restore(node &self, const snapshot &taken)
    {
        self.applied.clear();
        self.appliedTo = taken.index.value();
        const base::result<std::vector<log_entry>> entries = decodeEntries(taken.entries);
        for (const log_entry &entry : base::valueOf(entries))
            self.applied.emplace(entry.index.value(), entry);
        for (auto it = m_everApplied.begin(); it != m_everApplied.end(); ++it) {
            const bool isCovered
                = it->first <= taken.index.value() && it->second.kind == entry_kind::ticket;
            if (isCovered && self.applied.count(it->first) == 0)
                m_violations.push_back(self.name + ": snapshot is missing entry "
                                       + std::to_string(it->first));
        }
    }

    void apply(node &self, const std::vector<log_entry> &entries)
    {
        for (const log_entry &entry : entries) {
            const auto [entryAtIndex, isNew] = m_everApplied.emplace(entry.index.value(), entry);
            if (!isNew && entryAtIndex->second != entry)
                m_violations.push_back(self.name + ": conflicting entry at "
                                       + std::to_string(entry.index.value()));
            if (entry.index.value() > self.appliedTo + 1)
                m_violations.push_back(self.name + ": entries before "
                                       + std::to_string(entry.index.value()) + " are skipped");
            self.applied.emplace(entry.index.value(), entry);
            self.appliedTo = std::max(self.appliedTo, entry.index.value());
        }
    }

    const replica_bounds m_bounds;
    const group_kind m_kind;
    bool m_recoversInPlace = false;
    std::mt19937 m_random;
    std::vector<std::string> m_names;
    std::deque<node> m_nodes;
    std::map<std::size_t, memory_files> m_crashed;
    std::set<std::pair<std::size_t, std::size_t>> m_blockedLinks;
    std::list<in_flight_message> m_inFlight;
    std::map<std::uint64_t, log_entry> m_everApplied;
    std::vector<std::string> m_violations;
    std::uint32_t m_faultPercent = 0;
    std::uint64_t m_lastStorage = 0;
    base::clock_time m_now = base::clock_time::ofSeconds(1000);
};

} // namespace lycheeshunt::replication
