// Limits of the log: lines per second of each kind, and producers that never block on the reader.

#include "lycheeshunt/base/line_writer.h"
#include "lycheeshunt/base/log_budget.h"

#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <unistd.h>

using namespace lycheeshunt::base;

TEST_GROUP(log) {};

TEST(log, linesOverTheBudgetOfTheirKindAreOmittedAndCounted)
{
    log_budget budget(3);
    for (int i = 0; i < 3; ++i)
        CHECK_EQUAL(0U, *budget.tryAcquire("flows opened", clock_time::ofMillis(5000)));
    for (int i = 0; i < 7; ++i)
        CHECK_FALSE(budget.tryAcquire("flows opened", clock_time::ofMillis(5900)).has_value());
    CHECK(budget.tryAcquire("flows reset", clock_time::ofMillis(5900)).has_value());
    CHECK_EQUAL(7U, *budget.tryAcquire("flows opened", clock_time::ofMillis(6000)));
    CHECK_EQUAL(0U, *budget.tryAcquire("flows opened", clock_time::ofMillis(6001)));
}

TEST(log, aStalledReaderDoesNotBlockProducers)
{
    int ends[2] = {};
    CHECK_EQUAL(0, ::pipe(ends));
    constexpr std::size_t capacity = 64;
    constexpr std::size_t lineCount = 20'000;
    std::uint64_t dropped = 0;
    const clock_time before = clock_time::steady();
    {
        line_writer writer(ends[1], capacity);
        for (std::size_t i = 0; i < lineCount; ++i)
            writer.tryWrite(std::string(200, 'x') + "\n");
        dropped = writer.dropped();
    }
    // Nothing was read, yet no write blocked and the writer's thread ended.
    CHECK(dropped > 0);
    CHECK(clock_time::steady() - before < clock_time::ofSeconds(10));
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST(log, linesArriveCompleteAndInOrder)
{
    int ends[2] = {};
    CHECK_EQUAL(0, ::pipe(ends));
    {
        line_writer writer(ends[1], 16);
        CHECK(writer.tryWrite("first\n"));
        CHECK(writer.tryWrite("second\n"));
    }
    ::close(ends[1]);
    char text[64] = {};
    const ssize_t length = ::read(ends[0], text, sizeof text);
    CHECK_EQUAL(13, length);
    STRCMP_EQUAL("first\nsecond\n", text);
    ::close(ends[0]);
}
