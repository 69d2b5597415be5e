#include "lycheeshunt/routing/bucket_table.h"

#include <xxhash.h>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using routing::bucket_table;
using routing::target;

namespace {

constexpr std::uint32_t buckets = 512;

target targetFor(const std::string &name, std::uint32_t weight = 1)
{
    return target {base::nodeIdOf(name), base::incarnation(1), {}, weight};
}

std::vector<target> targetsFor(std::initializer_list<const char *> names)
{
    std::vector<target> targets;
    for (const char *name : names)
        targets.push_back(targetFor(name));
    return targets;
}

std::size_t bucketsOf(const bucket_table &table, const std::string &name)
{
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < table.size(); ++i)
        count += table.directorOf(base::bucket(i)).node == base::nodeIdOf(name) ? 1 : 0;
    return count;
}

std::uint64_t fingerprint(const bucket_table &table)
{
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < table.size(); ++i) {
        const std::uint64_t owners[] = {table.directorOf(base::bucket(i)).node.value(),
                                        table.backupOf(base::bucket(i)).node.value()};
        sum = XXH3_64bits_withSeed(owners, sizeof owners, sum);
    }
    return sum;
}

} // namespace

TEST_GROUP(bucket_table) {};

TEST(bucket_table, backupDiffersFromDirector)
{
    const bucket_table table(buckets, targetsFor({"a", "b"}));
    for (std::uint32_t i = 0; i < buckets; ++i)
        CHECK(table.directorOf(base::bucket(i)) != table.backupOf(base::bucket(i)));
}

TEST(bucket_table, aLeavingAgentMovesOnlyItsOwnBucketsAndToTheirBackups)
{
    const bucket_table before(buckets, targetsFor({"a", "b", "c", "d"}));
    const bucket_table after(buckets, targetsFor({"a", "b", "d"}));
    const base::node_id removed = base::nodeIdOf("c");
    for (std::uint32_t i = 0; i < buckets; ++i) {
        const base::bucket bucket(i);
        const target &expected = before.directorOf(bucket).node == removed
            ? before.backupOf(bucket)
            : before.directorOf(bucket);
        CHECK(after.directorOf(bucket) == expected);
    }
}

TEST(bucket_table, aGrowingWeightOnlyGainsBucketsAndGetsItsShare)
{
    std::size_t before = 0;
    for (std::uint32_t weight = 1; weight <= 4; ++weight) {
        const std::vector<target> peers {targetFor("a", 4), targetFor("b", 4), targetFor("c", 4)};
        std::vector<target> all = peers;
        all.push_back(targetFor("new", weight));
        const bucket_table without(4096, peers);
        const bucket_table table(4096, all);
        for (std::uint32_t i = 0; i < table.size(); ++i) {
            const base::node_id now = table.directorOf(base::bucket(i)).node;
            CHECK(now == base::nodeIdOf("new") || now == without.directorOf(base::bucket(i)).node);
        }
        const std::size_t owned = bucketsOf(table, "new");
        const std::size_t fair = 4096 * weight / (12 + weight);
        CHECK(owned > before);
        CHECK(owned > fair * 8 / 10);
        CHECK(owned < fair * 12 / 10);
        before = owned;
    }
}

TEST(bucket_table, equalWeightsGiveTheSameTableWhateverTheirSize)
{
    const bucket_table ones(buckets, {targetFor("a", 1), targetFor("b", 1), targetFor("c", 1)});
    const bucket_table fours(buckets, {targetFor("a", 4), targetFor("b", 4), targetFor("c", 4)});
    CHECK(fingerprint(ones) == fingerprint(fours));
}

TEST(bucket_table, indexesByMaskOrByRemainder)
{
    const std::vector<target> targets = targetsFor({"a", "b"});
    for (const std::uint32_t count : {1U, 2U, 500U, 512U, 65536U}) {
        const bucket_table table(count, targets);
        for (const std::uint64_t hash : {0ULL, 511ULL, 512ULL, 0xffffffffffffffffULL, 77777777ULL})
            LONGS_EQUAL(hash % count, table.bucketOf(hash).value());
    }
}

// Entries of different builds must build the same table: a change of this value would move flows
// while entries of both versions run.
TEST(bucket_table, isTheSameOnEveryNode)
{
    const bucket_table table(
        buckets, {targetFor("a", 4), targetFor("b", 4), targetFor("c", 3), targetFor("d", 1)});
    CHECK_EQUAL(14691999856415352303ULL, fingerprint(table));
}
