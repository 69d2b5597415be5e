// An exception that leaves a handler would end the process, and with it every other duty.

#include "lycheeshunt/base/duty.h"
#include "lycheeshunt/base/fault.h"

#include <future>
#include <stdexcept>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::base;

TEST_GROUP(duty_fault) {};

TEST(duty_fault, aDutyGoesOnAfterAnExceptionInItsHandler)
{
    std::promise<int> handled;
    const std::uint64_t faultsBefore = faultsReported();
    duty<int> worker(4, [&](const int &message, clock_time) {
        if (message == 1)
            throw std::runtime_error("planned by the test");
        if (message == 2)
            throw std::string("no exception type");
        handled.set_value(message);
    });
    worker.inbox().push(1);
    worker.inbox().push(2);
    worker.inbox().push(3);
    LONGS_EQUAL(3, handled.get_future().get());
    UNSIGNED_LONGS_EQUAL(faultsBefore + 2, faultsReported());
}

TEST(duty_fault, aTickingDutyGoesOnAfterAnExceptionInItsTick)
{
    std::promise<int> handled;
    int ticks = 0;
    duty<int> worker(4, clock_time::ofMillis(1), 0, [&](const int &, clock_time) {
        if (++ticks < 3)
            throw std::runtime_error("planned by the test");
        if (ticks == 3)
            handled.set_value(ticks);
    });
    LONGS_EQUAL(3, handled.get_future().get());
}
