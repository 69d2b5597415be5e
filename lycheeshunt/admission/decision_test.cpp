#include "lycheeshunt/admission/decision.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::admission;
using lycheeshunt::base::clock_time;
using lycheeshunt::base::error_code;
using lycheeshunt::tickets::service_limits;

namespace {

constexpr clock_time farDeadline = clock_time::ofSeconds(1000);

clock_time at(std::int64_t millis)
{
    return clock_time::ofMillis(millis);
}

work_arrived work(std::uint64_t id, clock_time deadline = farDeadline, bool expectedLong = false)
{
    return work_arrived {work_id(id), deadline, expectedLong};
}

work_ended ended(std::uint64_t id, work_outcome outcome = work_outcome::answered)
{
    return work_ended {work_id(id), outcome};
}

service_limits smallLimits()
{
    return service_limits {3, 100, 4, at(400), at(1000), 1};
}

} // namespace

TEST_GROUP(admission)
{
    admission_state state {smallLimits()};

    std::vector<admission_action> apply(const admission_message &message, std::int64_t now)
    {
        lycheeshunt::base::step<admission_state, admission_action> next
            = decide(std::move(state), message, at(now));
        state = std::move(next.state);
        return std::move(next.actions);
    }

    void fillSlots(std::uint64_t firstId, std::int64_t now)
    {
        for (std::uint64_t id = firstId; id < firstId + 3; ++id)
            CHECK(apply(work(id), now) == dispatched(id));
    }

    std::vector<admission_action> dispatched(std::uint64_t id)
    {
        return {dispatch_work {work_id(id)}};
    }

    std::vector<admission_action> refused(std::uint64_t id, error_code reason)
    {
        return {refuse_work {work_id(id), reason}};
    }

    bool is(const std::vector<admission_action> &actual,
            const std::vector<admission_action> &expected)
    {
        return actual == expected;
    }
};

TEST(admission, workIsDispatchedToAFreeSlotAndQueuedWhenThereIsNone)
{
    fillSlots(1, 0);
    CHECK(apply(work(4), 1).empty());
    CHECK(is(apply(ended(2), 5), dispatched(4)));
}

TEST(admission, fullQueueRefusesOnArrival)
{
    fillSlots(1, 0);
    for (std::uint64_t id = 4; id < 8; ++id)
        CHECK(apply(work(id), 1).empty());
    CHECK(is(apply(work(8), 1), refused(8, error_code::queueFull)));
}

TEST(admission, workThatWouldWaitTooLongIsRefusedOnArrival)
{
    fillSlots(1, 0);
    apply(ended(1), 900); // mean occupancy is now 900 ms
    CHECK(is(apply(work(4), 900), dispatched(4)));
    CHECK(apply(work(5), 901).empty()); // expected wait 300 ms, maximum 400 ms
    CHECK(is(apply(work(6), 901), refused(6, error_code::waitTooLong)));
}

TEST(admission, workWhoseDeadlinePassesInTheQueueIsNotRun)
{
    fillSlots(1, 0);
    apply(work(4, at(50)), 1);
    CHECK(is(apply(admission_tick {}, 50), refused(4, error_code::deadlinePassed)));
    CHECK(apply(ended(1), 60).empty());
}

TEST(admission, workWhoseDeadlinePassesAsASlotBecomesFreeIsNotRun)
{
    fillSlots(1, 0);
    apply(work(4, at(50)), 1);
    CHECK(is(apply(ended(1), 50), refused(4, error_code::deadlinePassed)));
}

TEST(admission, workWhoseDeadlineHasPassedOnArrivalIsNotRun)
{
    CHECK(is(apply(work(1, at(5)), 5), refused(1, error_code::deadlinePassed)));
}

TEST(admission, runningWorkWhoseDeadlinePassesIsCancelledOnceAndKeepsItsSlot)
{
    apply(work(1, at(50)), 0);
    CHECK(is(apply(admission_tick {}, 50), {cancel_at_server {work_id(1)}}));
    CHECK(apply(admission_tick {}, 60).empty());
    LONGS_EQUAL(1, countsOf(state, at(60)).busy);
    CHECK(apply(ended(1), 70).empty());
    LONGS_EQUAL(0, countsOf(state, at(70)).busy);
}

TEST(admission, queueWaitIsBounded)
{
    fillSlots(1, 0);
    apply(work(4), 1);
    CHECK(apply(admission_tick {}, 400).empty());
    CHECK(is(apply(admission_tick {}, 401), refused(4, error_code::queueWaitExceeded)));
}

TEST(admission, cancelBeforeDispatchIsNotRunAndAfterDispatchGoesToTheServer)
{
    fillSlots(1, 0);
    apply(work(4), 1);
    CHECK(is(apply(work_cancelled {work_id(4)}, 2), refused(4, error_code::workCancelled)));
    CHECK(is(apply(work_cancelled {work_id(1)}, 2), {cancel_at_server {work_id(1)}}));
    CHECK(apply(work_cancelled {work_id(1)}, 3).empty());
    CHECK(apply(work_cancelled {work_id(99)}, 3).empty());
}

TEST(admission, cancelRacingDispatchGoesToTheServer)
{
    fillSlots(1, 0);
    apply(work(4), 1);
    CHECK(is(apply(ended(1), 2), dispatched(4)));
    CHECK(is(apply(work_cancelled {work_id(4)}, 2), {cancel_at_server {work_id(4)}}));
}

TEST(admission, oldestQueuedWorkIsTransferredToTheAgentThatRequestsWork)
{
    fillSlots(1, 0);
    apply(work(4), 1);
    apply(work(5), 2);
    CHECK(is(apply(queued_work_requested {}, 3), {transfer_work {work_id(4)}}));
    CHECK(is(apply(ended(1), 4), dispatched(5)));
    CHECK(apply(queued_work_requested {}, 5).empty());
}

TEST(admission, expectedLongWorkLeavesTheReservedSlotsToShortWork)
{
    CHECK(is(apply(work(1, farDeadline, true), 0), dispatched(1)));
    CHECK(is(apply(work(2, farDeadline, true), 0), dispatched(2)));
    CHECK(apply(work(3, farDeadline, true), 1).empty());
    CHECK(is(apply(work(4), 2), dispatched(4)));
    CHECK(is(apply(ended(4), 3), {}));
    CHECK(is(apply(admission_tick {}, 201), dispatched(3)));
}

TEST(admission, workBecomesLongByAgeAndNewWorkIsRefusedWhenAllSlotsRunLongWork)
{
    fillSlots(1, 0);
    LONGS_EQUAL(0, countsOf(state, at(999)).longBusy);
    LONGS_EQUAL(3, countsOf(state, at(1000)).longBusy);
    CHECK(!countsOf(state, at(1000)).accepting);
    CHECK(is(apply(work(4), 1000), refused(4, error_code::slotsHeldByLongWork)));
}

TEST(admission, longWorkDoesNotAffectTheMeanOfShortWork)
{
    apply(work(1), 0);
    apply(ended(1), 5000);
    DOUBLES_EQUAL(0, state.meanShortMillis, 0);
}

TEST(admission, sheddingReducesTheLimitAndTheWorkIsReportedNotRun)
{
    fillSlots(1, 0);
    CHECK(is(apply(ended(1, work_outcome::shed), 10), refused(1, error_code::serverShedding)));
    LONGS_EQUAL(2, countsOf(state, at(10)).allowed);
    apply(ended(2, work_outcome::shed), 11); // the same overload event
    apply(ended(3, work_outcome::shed), 11);
    LONGS_EQUAL(2, countsOf(state, at(11)).allowed);
    for (std::uint64_t id = 10; id < 30; ++id) {
        const std::int64_t now = static_cast<std::int64_t>(id) * 100;
        apply(work(id), now);
        apply(ended(id, work_outcome::shed), now + 1);
    }
    LONGS_EQUAL(1, countsOf(state, at(3000)).allowed);
    CHECK(is(apply(work(50), 3000), dispatched(50)));
}

TEST(admission, limitRecoversWithAnswers)
{
    apply(server_restarted {}, 0);
    LONGS_EQUAL(2, countsOf(state, at(0)).allowed);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        apply(work(id), 1);
        apply(ended(id), 2);
    }
    LONGS_EQUAL(3, countsOf(state, at(2)).allowed);
}

TEST(admission, restartLosesRunningWorkAndKeepsQueuedWork)
{
    fillSlots(1, 0);
    apply(work(4), 1);
    CHECK(is(apply(server_restarted {}, 2),
             {report_work_lost {work_id(1)}, report_work_lost {work_id(2)},
              report_work_lost {work_id(3)}, dispatch_work {work_id(4)}}));
}

TEST(admission, drainRefusesNewWorkFinishesTheRestAndReportsDrainedOnce)
{
    fillSlots(1, 0);
    apply(work(4), 1);
    CHECK(apply(drain_changed {true}, 2).empty());
    CHECK(is(apply(work(5), 2), refused(5, error_code::serverDraining)));
    CHECK(is(apply(ended(1), 3), dispatched(4)));
    apply(ended(2), 4);
    apply(ended(3), 5);
    CHECK(apply(admission_tick {}, 3'600'000 - 1).size()
          == 1); // past its deadline: cancelled, but still running
    CHECK(is(apply(ended(4), 3'600'000), {report_drained {}}));
    CHECK(apply(admission_tick {}, 3'600'001).empty());
}

TEST(admission, idleServerIsDrainedAtOnceAndDrainingCanBeUndone)
{
    CHECK(is(apply(drain_changed {true}, 0), {report_drained {}}));
    CHECK(apply(drain_changed {false}, 1).empty());
    CHECK(is(apply(work(1), 2), dispatched(1)));
}

TEST(admission, fewerSlotsFromATicketDoNotInterruptRunningWork)
{
    fillSlots(1, 0);
    CHECK(apply(limits_changed {service_limits {1, 100, 4, at(400), at(1000), 0}}, 1).empty());
    apply(work(4), 1);
    CHECK(apply(ended(1), 2).empty());
    CHECK(apply(ended(2), 3).empty());
    CHECK(is(apply(ended(3), 4), dispatched(4)));
}

TEST(admission, endOfUnknownWorkIsIgnored)
{
    fillSlots(1, 0);
    CHECK(apply(ended(77), 1).empty());
    LONGS_EQUAL(3, countsOf(state, at(1)).busy);
}
