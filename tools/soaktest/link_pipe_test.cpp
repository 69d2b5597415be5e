#include "tools/soaktest/link_pipe.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::soak;

namespace {

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

} // namespace

TEST_GROUP(link_pipe)
{
    link_pipe pipe;
};

// A proxy that reordered or lost bytes would break streams that the product handles well.
TEST(link_pipe, keepsTheOrderWhenTheDelayEnds)
{
    pipe.setFault(at(100), false);
    pipe.push("a", at(0));
    pipe.setFault(at(0), false);
    pipe.push("b", at(50));
    CHECK(pipe.due(at(99)).empty());
    CHECK(pipe.nextDue() == at(100));
    CHECK_EQUAL(std::string("ab"), pipe.due(at(100)));
    pipe.consume(1);
    CHECK_EQUAL(std::string("b"), pipe.due(at(100)));
}

// A fault that never took effect would leave the product untested.
TEST(link_pipe, holdsBytesDuringSilence)
{
    pipe.push("a", at(0));
    pipe.setFault(at(0), true);
    CHECK(pipe.due(at(10)).empty());
    CHECK_FALSE(pipe.mayRead());
    CHECK_FALSE(pipe.nextDue().has_value());
    pipe.setFault(at(0), false);
    CHECK_EQUAL(std::string("a"), pipe.due(at(20)));
}

// A connection that was closed too early would lose its last bytes.
TEST(link_pipe, isFinishedOnceAllBytesAreSent)
{
    pipe.push("a", at(0));
    pipe.end();
    CHECK_FALSE(pipe.isFinished());
    CHECK_EQUAL(std::string("a"), pipe.due(at(0)));
    pipe.consume(1);
    CHECK(pipe.isFinished());
}
