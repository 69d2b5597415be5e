#include "lycheeshunt/requests/decision.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt::requests;
using lycheeshunt::base::clock_time;
using lycheeshunt::base::error_code;
using lycheeshunt::base::node_id;

namespace {

const request_identity one {7, 1};
const request_identity two {7, 2};
const node_id ownerA(10);
const node_id ownerB(11);

clock_time at(std::int64_t millis)
{
    return clock_time::ofMillis(millis);
}

request_arrived request(const request_identity &identity, std::uint64_t reply, bool idempotent,
                        std::int64_t firstSent = 0, std::int64_t deadline = 10'000)
{
    return request_arrived {identity, reply_handle(reply), at(deadline), idempotent, at(firstSent)};
}

request_action unknown(std::uint64_t reply)
{
    return reply_to_caller {reply_handle(reply), outcome_unknown {}};
}

request_action notRun(std::uint64_t reply, error_code reason)
{
    return reply_to_caller {reply_handle(reply), not_run {reason}};
}

answer_bytes answerOf(const char *text)
{
    return std::make_shared<const std::string>(text);
}

} // namespace

TEST_GROUP(requests)
{
    request_state state {1};

    std::vector<request_action> apply(const request_message &message, std::int64_t now)
    {
        lycheeshunt::base::step<request_state, request_action> next
            = decide(std::move(state), message, at(now));
        state = std::move(next.state);
        return std::move(next.actions);
    }

    // Brings a request to its start: it arrives, ownerA claims it and the backup acknowledges its
    // copy.
    void start(const request_identity &identity, std::uint64_t reply, bool idempotent,
               std::int64_t now)
    {
        apply(request(identity, reply, idempotent, now), now);
        CHECK(is(apply(start_claimed {identity, ownerA}, now),
                 {copy_to_backup {identity, ownerA, at(10'000), idempotent}}));
        CHECK(is(apply(copy_acknowledged {identity}, now), {permit_start {identity, ownerA}}));
    }

    // Fills the retry budget by first attempts.
    void fillRetryBudget()
    {
        for (std::uint64_t number = 100; number < 200; ++number) {
            const request_identity other {1, number};
            start(other, number, true, 0);
            apply(owner_answered {other, ownerA, answerOf("ok")}, 0);
        }
    }

    bool is(const std::vector<request_action> &actual, const std::vector<request_action> &expected)
    {
        return actual == expected;
    }

    bool isOfferedOnce(const std::vector<request_action> &actions)
    {
        return std::count_if(actions.begin(), actions.end(),
                             [](const request_action &action) {
                                 return std::holds_alternative<offer_request>(action);
                             })
            == 1;
    }
};

TEST(requests, completeAnswerReachesTheCallerOfItsRequest)
{
    start(one, 1, false, 0);
    start(two, 2, false, 0);
    const answer_bytes second = answerOf("second");
    CHECK(is(apply(owner_answered {two, ownerA, second}, 9),
             {reply_to_caller {reply_handle(2), second}}));
    const answer_bytes first = answerOf("first");
    CHECK(is(apply(owner_answered {one, ownerA, first}, 10),
             {reply_to_caller {reply_handle(1), first}}));
}

TEST(requests, duplicateAnswerAndAnswerFromAnotherAgentAreIgnored)
{
    start(one, 1, false, 0);
    CHECK(apply(owner_answered {one, ownerB, answerOf("misdirected")}, 4).empty());
    apply(owner_answered {one, ownerA, answerOf("a")}, 5);
    CHECK(apply(owner_answered {one, ownerA, answerOf("b")}, 6).empty());
    CHECK(apply(owner_answered {two, ownerA, answerOf("c")}, 6).empty());
}

TEST(requests, retransmissionWaitsForTheAnswerOrGetsTheStoredAnswer)
{
    start(one, 1, false, 0);
    CHECK(apply(request(one, 2, false), 3).empty());
    const answer_bytes answer = answerOf("complete");
    CHECK(
        is(apply(owner_answered {one, ownerA, answer}, 5),
           {reply_to_caller {reply_handle(1), answer}, reply_to_caller {reply_handle(2), answer}}));
    CHECK(is(apply(request(one, 3, false), 100'000), {reply_to_caller {reply_handle(3), answer}}));
}

TEST(requests, manyRetransmissionsCauseNoFurtherStart)
{
    start(one, 1, false, 0);
    for (std::uint64_t reply = 2; reply < 1000; ++reply)
        CHECK(apply(request(one, reply, false), 1).empty());
    LONGS_EQUAL(999, apply(owner_answered {one, ownerA, answerOf("x")}, 2).size());
}

TEST(requests, secondClaimIsDenied)
{
    start(one, 1, false, 0);
    CHECK(is(apply(start_claimed {one, ownerB}, 1), {deny_start {one, ownerB}}));
    CHECK(apply(start_claimed {one, ownerA}, 1).empty());
    CHECK(is(apply(start_claimed {two, ownerA}, 1), {deny_start {two, ownerA}}));
}

TEST(requests, startWaitsForTheAcknowledgementOfTheBackup)
{
    apply(request(one, 1, false), 0);
    apply(start_claimed {one, ownerA}, 1);
    CHECK(is(apply(owner_terminated {ownerA}, 2), {notRun(1, error_code::noServer)}));
    CHECK(apply(copy_acknowledged {one}, 3).empty());
}

TEST(requests, ownerTerminationAfterTheStartIsUnknownAndNeverNotRun)
{
    fillRetryBudget();
    start(one, 1, false, 0);
    CHECK(is(apply(owner_terminated {ownerA}, 5), {unknown(1)}));
    CHECK(is(apply(request(one, 2, false), 6), {unknown(2)}));
    CHECK(apply(requests_tick {}, 500).empty());
}

TEST(requests, ownerTerminationAfterTheStartRetriesAnIdempotentRequest)
{
    fillRetryBudget();
    start(one, 1, true, 0);
    CHECK(apply(owner_terminated {ownerA}, 5).empty());
    CHECK(isOfferedOnce(apply(requests_tick {}, 100)));
    // The first start may have run, so the outcome can no longer be not_run.
    CHECK(is(apply(requests_tick {}, 10'000), {unknown(1)}));
}

TEST(requests, cancelBeforeTheStartIsNotRunAndItsClaimIsDenied)
{
    apply(request(one, 1, false), 0);
    CHECK(is(apply(request_cancelled {one}, 1), {notRun(1, error_code::workCancelled)}));
    CHECK(is(apply(start_claimed {one, ownerA}, 1), {deny_start {one, ownerA}}));
}

TEST(requests, cancelRacingTheStartIsDecidedByTheDirector)
{
    start(one, 1, false, 0);
    CHECK(is(apply(request_cancelled {one}, 0), {cancel_at_owner {one, ownerA}}));
    const answer_bytes answer = answerOf("ran");
    CHECK(is(apply(owner_answered {one, ownerA, answer}, 2),
             {reply_to_caller {reply_handle(1), answer}}));
}

TEST(requests, deadlineAfterTheStartIsUnknownAndTheLateAnswerIsKeptForRetransmissions)
{
    start(one, 1, false, 0);
    CHECK(is(apply(requests_tick {}, 10'000), {cancel_at_owner {one, ownerA}, unknown(1)}));
    const answer_bytes late = answerOf("late");
    CHECK(apply(owner_answered {one, ownerA, late}, 11'000).empty());
    CHECK(is(apply(request(one, 2, false), 12'000), {reply_to_caller {reply_handle(2), late}}));
}

TEST(requests, deadlineBeforeTheStartIsNotRun)
{
    apply(request(one, 1, false), 0);
    CHECK(is(apply(requests_tick {}, 10'000), {notRun(1, error_code::deadlinePassed)}));
    CHECK(is(apply(start_claimed {one, ownerA}, 10'001), {deny_start {one, ownerA}}));
}

TEST(requests, claimAfterTheDeadlineIsDenied)
{
    apply(request(one, 1, false), 0);
    CHECK(is(apply(start_claimed {one, ownerA}, 10'000), {deny_start {one, ownerA}}));
}

TEST(requests, refusedRequestIsRetriedWithinTheBudgetAndTheDeadline)
{
    fillRetryBudget();
    apply(request(one, 1, false), 0);
    CHECK(apply(owner_refused {one, ownerA, error_code::queueFull}, 1).empty());
    CHECK(apply(requests_tick {}, 2).empty());
    CHECK(isOfferedOnce(apply(requests_tick {}, 40)));
    apply(request(two, 2, false, 0, 45), 40);
    CHECK(is(apply(owner_refused {two, ownerA, error_code::queueFull}, 41),
             {notRun(2, error_code::queueFull)}));
}

TEST(requests, retriesUnderOverloadAreATenthOfFirstAttempts)
{
    fillRetryBudget();
    std::uint64_t retried = 0;
    for (std::uint64_t number = 1000; number < 2000; ++number) {
        const request_identity identity {2, number};
        const std::int64_t now = static_cast<std::int64_t>(number);
        apply(request(identity, number, false, now), now);
        retried += apply(owner_refused {identity, ownerA, error_code::queueFull}, now).empty();
    }
    CHECK(retried >= 100);
    CHECK(retried <= 111);
}

TEST(requests, requestShedAfterTheStartWasNotRun)
{
    start(one, 1, false, 0);
    CHECK(is(apply(owner_refused {one, ownerA, error_code::serverShedding}, 4),
             {notRun(1, error_code::serverShedding)}));
    CHECK(isOfferedOnce(apply(request(one, 2, false), 5)));
}

TEST(requests, failureAfterTheStartIsUnknown)
{
    fillRetryBudget();
    start(one, 1, false, 0);
    CHECK(is(apply(owner_failed {one, ownerA}, 4), {unknown(1)}));
}

TEST(requests, messagesOfAnAgentThatIsNotTheOwnerAreIgnored)
{
    start(one, 1, false, 0);
    CHECK(apply(owner_refused {one, ownerB, error_code::queueFull}, 4).empty());
    CHECK(apply(owner_failed {one, ownerB}, 4).empty());
    CHECK(apply(owner_terminated {ownerB}, 4).empty());
}

TEST(requests, backupAnswersRetransmissionsWhenItBecomesDirector)
{
    CHECK(is(apply(copy_received {one, ownerA, at(10'000), false}, 0), {acknowledge_copy {one}}));
    apply(director_role_assumed {false}, 5);
    CHECK(is(apply(request(one, 1, false), 6), {query_owner {one, ownerA}}));
    CHECK(apply(request(one, 2, false), 6).empty());
    const answer_bytes answer = answerOf("kept");
    LONGS_EQUAL(2, apply(owner_answered {one, ownerA, answer}, 7).size());
}

TEST(requests, outcomeIsUnknownWhenDirectorAndOwnerHaveFailed)
{
    apply(copy_received {one, ownerA, at(10'000), false}, 0);
    apply(director_role_assumed {false}, 5);
    apply(owner_terminated {ownerA}, 5);
    CHECK(is(apply(request(one, 1, false), 6), {unknown(1)}));
}

TEST(requests, directorWithoutRecordsDoesNotRunRequestsThatMayHaveRun)
{
    apply(director_role_assumed {false}, 1000);
    CHECK(is(apply(request(one, 1, false, 900), 1001), {unknown(1)}));
    CHECK(isOfferedOnce(apply(request(two, 2, true, 900), 1001)));
    const request_identity fresh {7, 3};
    CHECK(isOfferedOnce(apply(request(fresh, 3, false, 1000), 1001)));
}

TEST(requests, retransmissionAfterTheRetentionPeriodIsUnknown)
{
    start(one, 1, false, 0);
    apply(owner_answered {one, ownerA, answerOf("a")}, 5);
    apply(requests_tick {}, 5 + retention.millis());
    LONGS_EQUAL(0, state.records.size());
    const std::int64_t now = 6 + retention.millis();
    CHECK(is(apply(request(one, 2, false, 0, now + 1000), now), {unknown(2)}));
}

TEST(requests, startIsPermittedAtOnceWithoutABackup)
{
    state.hasBackup = false;
    apply(request(one, 1, false), 0);
    CHECK(is(apply(start_claimed {one, ownerA}, 0), {permit_start {one, ownerA}}));
}
