// The files of a control VM may be read by another kind of machine, and by a later build.

#include "lycheeshunt/replication/internal/record.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace replication::internal;

TEST_GROUP(record) {};

TEST(record, itsBytesAreTheSameOnEveryMachine)
{
    const std::string framed = frameRecord("entry \xff");
    const std::string expected("\x52\x48\x53\x4c\x07\x00\x00\x00\x05\x7d\x9b\x19\x6d\x00\x49\xec"
                               "\x1d\x96\x12\xe8\xb8\x5b\x77\x38"
                               "entry \xff",
                               recordHeaderBytes + 7);
    LONGS_EQUAL(expected.size(), framed.size());
    MEMCMP_EQUAL(expected.data(), framed.data(), expected.size());
}

TEST(record, itsBodyIsReadBack)
{
    const std::string framed = frameRecord("entry \xff");
    const base::result<record_scan> scan = scanRecords(framed, "log");
    CHECK(base::isOk(scan));
    LONGS_EQUAL(1, base::valueOf(scan).bodies.size());
    CHECK(base::valueOf(scan).bodies.front() == "entry \xff");
}
