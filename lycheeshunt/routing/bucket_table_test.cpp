#include "lycheeshunt/routing/bucket_table.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using routing::bucket_table;
using routing::target;

namespace {

constexpr std::uint32_t buckets = 512;

std::vector<target> targetsFor(std::initializer_list<const char *> names)
{
    std::vector<target> targets;
    for (const char *name : names)
        targets.push_back(target {base::nodeIdOf(name), base::incarnation(1), {}});
    return targets;
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
    const base::node_id gone = base::nodeIdOf("c");
    for (std::uint32_t i = 0; i < buckets; ++i) {
        const base::bucket bucket(i);
        const target &expected = before.directorOf(bucket).node == gone ? before.backupOf(bucket)
                                                                        : before.directorOf(bucket);
        CHECK(after.directorOf(bucket) == expected);
    }
}
