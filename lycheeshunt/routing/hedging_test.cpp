// Second copies of opening packets that no server has answered: when they are sent, and that their
// number stays within the operators' limit. The time is virtual.

#include "lycheeshunt/routing/hedging.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <map>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;

namespace {

const base::service_id logbook = base::serviceIdOf("logbook");
constexpr std::uint32_t percent = 5;
constexpr std::int64_t targetLatency = 200;

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

route routeTo(const std::string &name)
{
    return route {logbook, base::generation(1),
                  routing::target {base::nodeIdOf(name), base::incarnation(1), {}}};
}

packets::ip_summary openingOf(std::uint32_t caller, bool isRepeated = false)
{
    return packets::ip_summary {
        base::flow_key {{caller, 40000}, {0xc6120001, 443}, 6}, true, false, false, 0, isRepeated};
}

sent_opening sentOf(std::uint32_t caller, std::int64_t latency = targetLatency)
{
    return sent_opening {openingOf(caller), {}, routeTo("director"), at(latency)};
}

// The time until the answer to a copy arrives; empty for a copy that gets none.
using answer_rule = std::function<std::optional<std::int64_t>(std::uint32_t caller, bool isHedge)>;

struct load_result
{
    std::size_t copies = 0;
    std::size_t refused = 0;
    std::int64_t slowest = 0;
};

struct hedged_load : public Utest
{
    hedging waiting {hedging_limit {percent}};
    std::int64_t now = 0;
    std::uint32_t callers = 0;

    // An opening every 10 ms for this long.
    load_result run(std::int64_t millis, const answer_rule &answer,
                    std::int64_t latency = targetLatency)
    {
        constexpr std::int64_t interval = 10;
        constexpr std::int64_t settleTime = 200;
        load_result result;
        std::multimap<std::int64_t, std::uint32_t> answers;
        std::map<std::uint32_t, std::int64_t> sentAt;
        const auto send = [&](std::uint32_t caller, bool isHedge) {
            if (const std::optional<std::int64_t> after = answer(caller, isHedge))
                answers.emplace(now + *after, caller);
        };
        const std::int64_t end = now + millis;
        for (; now < end + settleTime; ++now) {
            for (auto it = answers.begin(); it != answers.end() && it->first <= now;
                 it = answers.erase(it)) {
                if (waiting.handleAnswer(openingOf(it->second).key, at(now)))
                    result.slowest = std::max(result.slowest, now - sentAt[it->second]);
            }
            if (now < end && now % interval == 0) {
                sentAt[++callers] = now;
                waiting.add(sentOf(callers, latency), at(now));
                send(callers, false);
            }
            while (const std::optional<due_opening> due = waiting.takeDue(at(now))) {
                const hedge_decision decision = waiting.decide(*due, routeTo("backup"));
                const bool isSent = std::holds_alternative<send_hedge>(decision);
                result.copies += isSent ? 1 : 0;
                result.refused += isSent ? 0 : 1;
                if (isSent)
                    send(due->opening.summary.key.caller.address, true);
            }
        }
        return result;
    }

    static std::optional<std::int64_t> answerSoon(std::uint32_t, bool) { return 5; }
};

} // namespace

TEST_GROUP_BASE(hedging, hedged_load) {};

// Guards against openings that wait for the caller's own copy when an agent is dead.
TEST(hedging, theOpeningsOfADeadAgentAreAnsweredAfterTheDelayAndOneRoundTrip)
{
    const answer_rule oneAgentIsDead
        = [](std::uint32_t caller, bool isHedge) -> std::optional<std::int64_t> {
        if (caller % 50 == 0 && !isHedge)
            return std::nullopt;
        return 5;
    };
    LONGS_EQUAL(targetLatency / 4 + 5, run(1000, oneAgentIsDead).slowest);
    const load_result later = run(10'000, oneAgentIsDead);
    LONGS_EQUAL(20 + 5, later.slowest);
    LONGS_EQUAL(20, later.copies);
    LONGS_EQUAL(0, later.refused);
}

// Guards against twice the load while no server answers at all.
TEST(hedging, whileNothingIsAnsweredTheCopiesStayWithinTheLimitAndItsBurst)
{
    run(10'000, answerSoon);
    const load_result outage
        = run(10'000, [](std::uint32_t, bool) { return std::optional<std::int64_t>(); });
    CHECK(outage.copies >= 1000 * percent / 100);
    CHECK(outage.copies <= 1000 * percent / 100 + percent);
    LONGS_EQUAL(1000 - outage.copies, outage.refused);
}

// Guards against a storm of copies when all servers become slower, as under high load.
TEST(hedging, theDelayFollowsWhenAllAnswersBecomeSlower)
{
    constexpr std::int64_t longTarget = 800;
    const answer_rule answerLate = [](std::uint32_t, bool) { return std::optional(60); };
    LONGS_EQUAL(0, run(5000, answerSoon, longTarget).copies);
    const load_result change = run(2000, answerLate, longTarget);
    CHECK(change.copies > 0);
    CHECK(change.copies <= 200 * percent / 100 + percent);
    LONGS_EQUAL(0, run(5000, answerLate, longTarget).copies);
    CHECK(waiting.delayFor(at(longTarget)) == at(180));
    run(15'000, answerSoon, longTarget);
    CHECK(waiting.delayFor(at(longTarget)) == at(20));
    // Where the target leaves no longer delay, the limit bounds the copies.
    CHECK(run(10'000, answerLate).copies <= 1000 * percent / 100 + percent);
}

TEST(hedging, theDelayIsItsUpperBoundUntilEnoughAnswersWereSeen)
{
    CHECK(waiting.delayFor(at(targetLatency)) == at(50));
    CHECK(waiting.delayFor(at(40)) == at(20));
    run(490, answerSoon);
    CHECK(waiting.delayFor(at(targetLatency)) == at(50));
    run(10, answerSoon);
    CHECK(waiting.delayFor(at(targetLatency)) == at(20));
}

// Guards against copies that open a flow a second time although the caller was answered or has sent
// its own copy.
TEST(hedging, anAnswerAndTheCallersOwnPacketsEndTheWait)
{
    for (const std::uint32_t caller : {1U, 2U, 3U})
        waiting.add(sentOf(caller), at(0));
    waiting.add(sentOf(1), at(10));
    waiting.handleCallersPacket(openingOf(2).key);
    CHECK(waiting.handleAnswer(openingOf(3).key, at(10)) == at(10));
    CHECK_FALSE(waiting.nextAt().has_value());
    CHECK_FALSE(waiting.takeDue(at(100)).has_value());
    // The answer is measured although no copy is to be sent.
    CHECK(waiting.handleAnswer(openingOf(2).key, at(300)) == at(300));
    CHECK_FALSE(waiting.handleAnswer(openingOf(2).key, at(301)).has_value());
    CHECK_FALSE(waiting.handleAnswer(openingOf(1).key, at(1400)).has_value());
}

// Guards against a burst of late copies from an entry that stood still.
TEST(hedging, noCopyIsSentOnceTheCallerHasRetransmitted)
{
    waiting.add(sentOf(1), at(0));
    CHECK(waiting.nextAt() == at(50));
    CHECK_FALSE(waiting.takeDue(at(49)).has_value());
    CHECK_FALSE(waiting.takeDue(at(200)).has_value());
    waiting.add(sentOf(2), at(300));
    CHECK(waiting.takeDue(at(499))->waited == at(199));
    CHECK_FALSE(waiting.takeDue(at(499)).has_value());
}

TEST(hedging, aServiceWithoutAnotherAgentGetsNoCopyAndKeepsTheBudget)
{
    run(1000, answerSoon);
    const due_opening due {sentOf(1), at(20)};
    const hedge_decision none = skip_hedge {hedge_obstacle::noOtherAgent};
    for (std::uint32_t i = 0; i < percent + 1; ++i) {
        CHECK(waiting.decide(due, routeTo("director")) == none);
        CHECK(waiting.decide(due, no_route {base::error_code::noServer}) == none);
    }
    for (std::uint32_t i = 0; i < percent; ++i)
        CHECK(waiting.decide(due, routeTo("backup"))
              == hedge_decision(send_hedge {routeTo("backup")}));
    CHECK(waiting.decide(due, routeTo("backup"))
          == hedge_decision(skip_hedge {hedge_obstacle::noBudget}));
}

TEST(hedging, theOldestOpeningIsEvictedAndAbandonedOnesAreRemoved)
{
    for (std::uint32_t caller = 0; caller <= hedging::maxWaiting; ++caller)
        waiting.add(sentOf(caller), at(caller / 100));
    LONGS_EQUAL(hedging::maxWaiting, waiting.size());
    LONGS_EQUAL(1, waiting.evicted());
    CHECK(waiting.takeDue(at(60))->opening == sentOf(1));
    waiting.add(sentOf(0), at(1500));
    LONGS_EQUAL(1, waiting.size());
    LONGS_EQUAL(1, waiting.evicted());
}

// Guards against requests that run twice: only those that may be repeated are hedged.
TEST(hedging, onlyFirstCopiesToDirectorsOfIdempotentRoutesAreHedged)
{
    using tickets::request_kind;
    const auto traits = [](request_kind kind, std::int64_t latency = targetLatency) {
        return request_traits {kind, 0, at(latency)};
    };
    const steering toDirector = steer_to {routeTo("director")};
    const steering toOwner = steer_to {routeTo("director"), flows::packet_stage::toOwner};
    CHECK(mayBeHedged(openingOf(1), toDirector, traits(request_kind::idempotent)));
    CHECK_FALSE(mayBeHedged(openingOf(1), toDirector, traits(request_kind::nonIdempotent)));
    CHECK_FALSE(mayBeHedged(openingOf(1), toDirector, traits(request_kind::upload)));
    CHECK_FALSE(mayBeHedged(openingOf(1), toDirector, std::nullopt));
    CHECK_FALSE(mayBeHedged(openingOf(1), toDirector, traits(request_kind::idempotent, 0)));
    CHECK_FALSE(mayBeHedged(openingOf(1), toOwner, traits(request_kind::idempotent)));
    CHECK_FALSE(mayBeHedged(openingOf(1, true), toDirector, traits(request_kind::idempotent)));
    CHECK_FALSE(mayBeHedged(openingOf(1), refuse_caller {base::error_code::noServer},
                            traits(request_kind::idempotent)));
    CHECK_FALSE(mayBeHedged(packets::ip_summary {openingOf(1).key}, toDirector,
                            traits(request_kind::idempotent)));
}
