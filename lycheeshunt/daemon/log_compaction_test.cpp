// Merging of log entries for a VM that has a long backlog.

#include "lycheeshunt/daemon/internal/log_compaction.h"

#include "lycheeshunt/evacuations/codec.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/states/codec.h"
#include "lycheeshunt/tickets/other_committed.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using daemon::internal::log_compaction;

namespace {

replication::log_entry entryOf(std::uint64_t index, replication::entry_kind kind,
                               const std::string &payload)
{
    return replication::log_entry {base::generation(index), 1, kind, base::clock_time(), payload};
}

replication::log_entry stateEntry(std::uint64_t index, std::uint64_t version)
{
    return entryOf(index, replication::entry_kind::state,
                   states::encodeState(states::desired_state {version, std::to_string(version)}));
}

membership::member memberOf(const std::string &name, std::uint64_t incarnation)
{
    return membership::member {name,
                               "zone-1",
                               membership::member_role::entry,
                               base::service_id(),
                               base::incarnation(incarnation),
                               base::endpoint {1, 2}};
}

replication::log_entry batchEntry(std::uint64_t index, const membership::membership_batch &batch)
{
    return entryOf(index, replication::entry_kind::membership, membership::encodeBatch(batch));
}

replication::log_entry orderEntry(std::uint64_t index, const std::string &zone, bool isEvacuated)
{
    return entryOf(index, replication::entry_kind::evacuation,
                   evacuations::encodeOrder({zone, isEvacuated}));
}

membership::membership_batch batchOf(const tickets::other_committed &merged)
{
    return base::valueOf(membership::decodeBatch(merged.batch));
}

} // namespace

TEST_GROUP(log_compaction) {};

TEST(log_compaction, onlyTheHighestStateIsKept)
{
    const tickets::other_committed merged
        = log_compaction::merge({stateEntry(1, 5), stateEntry(2, 9), stateEntry(3, 7)});
    CHECK(merged.at == base::generation(3));
    CHECK(merged.isMerged);
    LONGS_EQUAL(9, base::valueOf(states::decodeState(merged.state))->version);
    CHECK(merged.batch.empty());
}

TEST(log_compaction, onlyTheLatestIncarnationOfAMemberIsKept)
{
    const tickets::other_committed merged
        = log_compaction::merge({batchEntry(1, {{memberOf("n1", 1), memberOf("n2", 1)}, {}}),
                                 batchEntry(2, {{memberOf("n1", 2)}, {}})});
    const membership::membership_batch batch = batchOf(merged);
    LONGS_EQUAL(2, batch.updated.size());
    for (const membership::member &member : batch.updated)
        LONGS_EQUAL(member.name == "n1" ? 2 : 1, member.incarnation.value());
}

// It may have been a member before the first of these entries.
TEST(log_compaction, aMemberThatLeftIsReportedAsRemoved)
{
    const membership::member left = memberOf("n1", 1);
    const tickets::other_committed merged
        = log_compaction::merge({batchEntry(1, {{left}, {}}), batchEntry(4, {{}, {left.id()}})});
    const membership::membership_batch batch = batchOf(merged);
    LONGS_EQUAL(0, batch.updated.size());
    LONGS_EQUAL(1, batch.removed.size());
    CHECK(merged.at == base::generation(4));
}

TEST(log_compaction, aMemberThatRejoinedIsNotReportedAsRemoved)
{
    const membership::member back = memberOf("n1", 2);
    const tickets::other_committed merged
        = log_compaction::merge({batchEntry(1, {{}, {back.id()}}), batchEntry(2, {{back}, {}})});
    const membership::membership_batch batch = batchOf(merged);
    LONGS_EQUAL(1, batch.updated.size());
    LONGS_EQUAL(0, batch.removed.size());
}

TEST(log_compaction, entriesWithoutEffectMergeToNothing)
{
    const tickets::other_committed merged
        = log_compaction::merge({entryOf(1, replication::entry_kind::none, "")});
    CHECK(merged.at == base::generation());
}

// Guards against a withdrawn evacuation that is in force again on a VM which holds the order and
// then gets a snapshot or a merged backlog without its withdrawal.
TEST(log_compaction, theLastOrderOfEachZoneIsKeptAlsoIfItIsAWithdrawal)
{
    const std::vector<replication::log_entry> entries {
        orderEntry(1, "zone-1", true),
        orderEntry(2, "zone-2", true),
        stateEntry(3, 5),
        orderEntry(4, "zone-1", false),
        stateEntry(5, 4),
    };
    const std::vector<replication::log_entry> kept = log_compaction().compact(entries);
    CHECK(kept
          == (std::vector<replication::log_entry> {orderEntry(2, "zone-2", true), stateEntry(3, 5),
                                                   orderEntry(4, "zone-1", false)}));
    // A second compaction changes nothing.
    CHECK(log_compaction().compact(kept) == kept);
    const tickets::other_committed merged = log_compaction::merge(entries);
    CHECK(merged.at == base::generation(5));
    CHECK(merged.evacuations
          == (std::vector<std::string> {evacuations::encodeOrder({"zone-2", true}),
                                        evacuations::encodeOrder({"zone-1", false})}));
}

TEST(log_compaction, anOrderAloneSetsTheGenerationOfAMergedUpdate)
{
    const tickets::other_committed merged = log_compaction::merge(
        {orderEntry(7, "zone-1", true), entryOf(8, replication::entry_kind::none, "")});
    CHECK(merged.at == base::generation(7));
}
