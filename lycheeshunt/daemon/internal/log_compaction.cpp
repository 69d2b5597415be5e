#include "lycheeshunt/daemon/internal/log_compaction.h"

#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/states/codec.h"
#include "lycheeshunt/tickets/other_committed.h"

#include <map>
#include <optional>

namespace lycheeshunt::daemon::internal {

namespace {

std::optional<membership::membership_batch> batchOf(const replication::log_entry &entry)
{
    if (entry.kind != replication::entry_kind::membership)
        return std::nullopt;
    const base::result<membership::membership_batch> batch = membership::decodeBatch(entry.payload);
    if (!base::isOk(batch))
        return std::nullopt;
    return base::valueOf(batch);
}

replication::log_entry withBatch(const replication::log_entry &entry,
                                 const membership::membership_batch &batch)
{
    return replication::log_entry {entry.index, entry.term, entry.kind, entry.acceptedAt,
                                   membership::encodeBatch(batch)};
}

// The first entry of the highest version: a later one of the same version changed nothing.
const replication::log_entry *highestState(const std::vector<replication::log_entry> &entries)
{
    const replication::log_entry *highest = nullptr;
    std::uint64_t most = 0;
    for (const replication::log_entry &entry : entries) {
        if (entry.kind != replication::entry_kind::state)
            continue;
        const base::result<std::uint64_t> version = states::versionOf(entry.payload);
        if (base::isOk(version) && base::valueOf(version) > most) {
            most = base::valueOf(version);
            highest = &entry;
        }
    }
    return highest;
}

// The last order of each zone. A withdrawal is one too: the VM that restores it may hold the order
// that it withdraws.
std::set<const replication::log_entry *>
lastEvacuations(const std::vector<replication::log_entry> &entries)
{
    std::map<std::string, const replication::log_entry *> last;
    for (const replication::log_entry &entry : entries) {
        if (entry.kind != replication::entry_kind::evacuation)
            continue;
        const base::result<evacuations::evacuation_order> order
            = evacuations::decodeOrder(entry.payload);
        if (base::isOk(order))
            last[base::valueOf(order).zone] = &entry;
    }
    std::set<const replication::log_entry *> kept;
    for (auto it = last.begin(); it != last.end(); ++it)
        kept.insert(it->second);
    return kept;
}

// Merges consecutive membership batches into their combined effect.
class batch_merger
{
public:
    // Returns whether the entry is a batch.
    bool add(const replication::log_entry &entry)
    {
        const std::optional<membership::membership_batch> batch = batchOf(entry);
        if (!batch)
            return false;
        for (const membership::member &member : batch->updated) {
            m_removed.erase(member.id());
            m_present.erase(member.id());
            m_present.emplace(member.id(), member);
        }
        for (const base::node_id &id : batch->removed) {
            m_present.erase(id);
            m_removed.insert(id);
        }
        return true;
    }

    std::vector<membership::member> present() const
    {
        std::vector<membership::member> members;
        for (auto it = m_present.begin(); it != m_present.end(); ++it)
            members.push_back(it->second);
        return members;
    }
    std::vector<base::node_id> removed() const { return {m_removed.begin(), m_removed.end()}; }

private:
    std::map<base::node_id, membership::member> m_present;
    std::set<base::node_id> m_removed;
};

} // namespace

void log_compaction::trackMembers(const replication::log_entry &entry)
{
    const std::optional<membership::membership_batch> batch = batchOf(entry);
    if (!batch)
        return;
    for (const membership::member &member : batch->updated)
        m_members.insert(member.id());
    for (const base::node_id &id : batch->removed)
        m_members.erase(id);
}

std::vector<replication::log_entry>
log_compaction::compact(const std::vector<replication::log_entry> &entries) const
{
    std::vector<replication::log_entry> kept;
    batch_merger members;
    const replication::log_entry *lastBatch = nullptr;
    const replication::log_entry *state = highestState(entries);
    const std::set<const replication::log_entry *> evacuations = lastEvacuations(entries);
    for (const replication::log_entry &entry : entries) {
        if (entry.kind == replication::entry_kind::ticket || &entry == state
            || evacuations.count(&entry) > 0)
            kept.push_back(entry);
        if (members.add(entry))
            lastBatch = &entry;
    }
    if (lastBatch == nullptr)
        return kept;
    const std::vector<membership::member> present = members.present();
    // The merged batch takes the place of the last batch in log order.
    std::vector<replication::log_entry> ordered;
    bool isPlaced = false;
    for (const replication::log_entry &entry : kept) {
        if (!isPlaced && entry.index > lastBatch->index) {
            ordered.push_back(withBatch(*lastBatch, {present, {}}));
            isPlaced = true;
        }
        ordered.push_back(entry);
    }
    if (!isPlaced)
        ordered.push_back(withBatch(*lastBatch, {present, {}}));
    return ordered;
}

tickets::other_committed log_compaction::merge(const std::vector<replication::log_entry> &entries)
{
    batch_merger members;
    base::generation at;
    for (const replication::log_entry &entry : entries) {
        if (members.add(entry) || entry.kind == replication::entry_kind::state
            || entry.kind == replication::entry_kind::evacuation)
            at = entry.index;
    }
    std::vector<std::string> evacuations;
    std::vector<std::string> replaced;
    const std::set<const replication::log_entry *> last = lastEvacuations(entries);
    for (const replication::log_entry &entry : entries) {
        if (entry.kind == replication::entry_kind::evacuation)
            (last.count(&entry) > 0 ? evacuations : replaced).push_back(entry.payload);
    }
    const membership::membership_batch batch {members.present(), members.removed()};
    const replication::log_entry *state = highestState(entries);
    return tickets::other_committed {at,
                                     batch.isEmpty() ? "" : membership::encodeBatch(batch),
                                     state == nullptr ? "" : state->payload,
                                     true,
                                     std::move(evacuations),
                                     std::move(replaced)};
}

replication::log_entry log_compaction::withRemovals(const replication::log_entry &entry) const
{
    const std::optional<membership::membership_batch> batch = batchOf(entry);
    if (!batch)
        return entry;
    std::set<base::node_id> removed = m_members;
    for (const membership::member &member : batch->updated)
        removed.erase(member.id());
    return withBatch(entry, {batch->updated, {removed.begin(), removed.end()}});
}

} // namespace lycheeshunt::daemon::internal
