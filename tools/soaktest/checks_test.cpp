// Each check must find a made-up history that breaks its promise, and must accept one that keeps
// it.

#include "tools/soaktest/checks.h"
#include "tools/soaktest/topology.h"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>

#include <csignal>

using namespace lycheeshunt;
using namespace lycheeshunt::soak;

namespace {

const base::flow_key logbookFlow {{0x0a000001, 1024}, {0xc0000201, 443}, IPPROTO_TCP};
const base::clock_time eventInterval = base::clock_time::ofMillis(10);

// The names of the checks that a history fails, in order. Event n happens at n * 10 ms.
std::vector<std::string> failuresOf(const std::vector<observation> &history)
{
    check_state state {std::make_shared<const topology>(defaultTopology())};
    std::vector<std::string> names;
    base::clock_time now;
    for (const observation &seen : history) {
        now = now + eventInterval;
        check_step step = decide(std::move(state), {now, seen});
        CHECK_FALSE(step.fault.has_value());
        state = std::move(step.state);
        for (const violation &found : step.actions)
            names.push_back(found.check);
    }
    return names;
}

using names = std::vector<std::string>;

} // namespace

TEST_GROUP(checks) {};

TEST(checks, findAnOpenFlowThatIsResetUnderPlannedWork)
{
    CHECK(names {"planned_work_reset"}
          == failuresOf({flow_held {logbookFlow, "logbook-1"},
                         process_ordered {{"logbook-2", process_change::stop}},
                         process_ordered {{"entry-1", process_change::stop}},
                         flow_reset {logbookFlow, "caller"}}));
}

// docs/OPERATING.md: an agent that stops also stops carrying the flows of its own server.
TEST(checks, acceptAResetOnlyOfFlowsThatWereOpenWhenTheirAgentStopped)
{
    const process_ordered stop {{"logbook-1", process_change::stop}};
    const flow_held held {logbookFlow, "logbook-1"};
    const flow_reset reset {logbookFlow, "caller"};
    const process_ordered start {{"logbook-1", process_change::start}};
    CHECK(failuresOf({held, stop, reset}).empty());
    CHECK(failuresOf({held, stop, start, reset}).empty());
    // The agent opens the flow before it has ended.
    CHECK(failuresOf({stop, held, reset}).empty());
    CHECK(names {"planned_work_reset"} == failuresOf({stop, start, held, reset}));
}

TEST(checks, nameTheResetOfAnOpenFlowAfterAKillDifferently)
{
    CHECK(names {"open_flow_reset"}
          == failuresOf({flow_held {logbookFlow, "logbook-1"},
                         process_ordered {{"entry-1", process_change::kill}},
                         flow_reset {logbookFlow, "caller"}}));
    CHECK(names {"open_flow_reset"}
          == failuresOf({flow_held {logbookFlow, "logbook-1"},
                         link_ordered {{"control-1", false, link_reset {}}},
                         flow_reset {logbookFlow, "caller"}}));
}

TEST(checks, nameTheResetOfAFlowThatTwoServersOpened)
{
    const packet_delivered first {logbookFlow, "logbook-1", true};
    const packet_delivered second {logbookFlow, "logbook-2", true};
    const flow_held held {logbookFlow, "logbook-1"};
    const process_ordered pause {{"logbook-2", process_change::pause}};
    const flow_reset reset {logbookFlow, "caller"};
    CHECK(names {"doubly_opened_reset"} == failuresOf({pause, first, second, held, reset}));
    CHECK(names {"planned_work_reset"} == failuresOf({first, second, held, reset}));
}

TEST(checks, acceptTheResetOfAFlowThatNoServerHolds)
{
    CHECK(
        failuresOf({flow_opening {logbookFlow}, flow_reset {logbookFlow, "caller", true}}).empty());
    CHECK(failuresOf({flow_held {logbookFlow, "logbook-1"}, flow_released {logbookFlow},
                      flow_reset {logbookFlow, "caller"}})
              .empty());
}

TEST(checks, findAFlowThatStaysUnanswered)
{
    CHECK(names {"planned_work_unanswered"} == failuresOf({flow_unanswered {logbookFlow}}));
}

TEST(checks, findAPacketAtAServerOfAnotherService)
{
    CHECK(failuresOf({packet_delivered {logbookFlow, "logbook-2"}}).empty());
    CHECK(names {"wrong_service"} == failuresOf({packet_delivered {logbookFlow, "inspect-1"}}));
}

TEST(checks, findARequestThatRunsTwice)
{
    CHECK(failuresOf({request_run {logbookFlow, 1, "logbook-1"},
                      request_run {logbookFlow, 2, "logbook-1"}})
              .empty());
    CHECK(names {"at_most_once"}
          == failuresOf({request_run {logbookFlow, 1, "logbook-1"},
                         request_run {logbookFlow, 1, "logbook-2"}}));
}

TEST(checks, findARefusedRequestThatRuns)
{
    CHECK(names {"not_run"}
          == failuresOf({flow_reset {logbookFlow, "caller", true},
                         request_run {logbookFlow, 1, "logbook-1"}}));
    CHECK(names {"not_run"}
          == failuresOf({request_run {logbookFlow, 1, "logbook-1"},
                         flow_reset {logbookFlow, "caller", true}}));
}

TEST(checks, findAProcessThatEndsByItselfOrFailsToStop)
{
    CHECK(failuresOf({process_exited {"entry-1", true, 0, 0},
                      process_exited {"entry-1", true, 0, SIGKILL}})
              .empty());
    CHECK(names {"process_ended"} == failuresOf({process_exited {"entry-1", false, 0, 0}}));
    CHECK(names {"process_ended"} == failuresOf({process_exited {"entry-1", true, 0, SIGSEGV}}));
    CHECK(names {"process_ended"} == failuresOf({process_exited {"entry-1", true, 3, 0}}));
    CHECK(names {"process_stuck"} == failuresOf({process_stuck {"entry-1"}}));
    CHECK(names {"fault_logged"} == failuresOf({fault_logged {"entry-1", "level=error"}}));
}

TEST(checks, findAnAcceptedTicketThatIsLostOrChanged)
{
    const base::clock_time early = base::clock_time::ofMillis(1);
    const base::clock_time late = base::clock_time::ofMillis(15);
    const ticket_accepted accepted {10, "operator-1", 5, early};
    CHECK(failuresOf({accepted, ticket_read {10, "operator-1", 5, late}}).empty());
    // The question was asked before the ticket was accepted.
    CHECK(failuresOf({accepted, ticket_read {10, "", 0, early}}).empty());
    CHECK(names {"ticket_lost"} == failuresOf({accepted, ticket_read {10, "", 0, late}}));
    CHECK(names {"ticket_changed"}
          == failuresOf({accepted, ticket_read {10, "operator-1", 6, late}}));
    CHECK(names {"ticket_changed"}
          == failuresOf({accepted, ticket_accepted {10, "operator-2", 5, early}}));
}

TEST(checks, findADesiredStateThatDecreases)
{
    const base::clock_time early = base::clock_time::ofMillis(1);
    const base::clock_time late = base::clock_time::ofMillis(15);
    const ticket_accepted first {10, "operator-1", 5, early};
    CHECK(failuresOf({first, ticket_accepted {11, "operator-2", 4, early}}).empty());
    CHECK(names {"desired_state_decreased"}
          == failuresOf({first, ticket_accepted {11, "operator-2", 4, late}}));
}

TEST(checks, findAnOpeningPacketInAnEvacuatedZone)
{
    const packet_delivered opening {logbookFlow, "logbook-1", true};
    const zone_in_force order {"zone-1"};
    // With one event every 10 ms, longer than an order may take.
    const std::vector<observation> pause(600, zone_in_force {"zone-9"});
    const auto historyOf
        = [&](const std::vector<observation> &before, const std::vector<observation> &after) {
              std::vector<observation> all = before;
              for (const std::vector<observation> *part : {&pause, &after}) {
                  for (const observation &seen : *part)
                      all.push_back(seen);
              }
              return all;
          };
    CHECK(failuresOf(historyOf({order, flow_opening {logbookFlow}}, {opening})).empty());
    CHECK(failuresOf(
              historyOf({order}, {flow_opening {logbookFlow}, zone_withdrawn {"zone-1"}, opening}))
              .empty());
    CHECK(names {"evacuated_zone"}
          == failuresOf(historyOf({order}, {flow_opening {logbookFlow}, opening})));
}

TEST(checks, findAMemberThatDoesNotServeAgain)
{
    CHECK(names {"member_missing"} == failuresOf({member_missing {"5 of 6"}}));
}

TEST(checks, findATicketThatIsRefusedUnlessAnotherOperatorCompetes)
{
    CHECK(failuresOf({ticket_refused {10, "operator-1", "E602", true}}).empty());
    CHECK(names {"ticket_refused"} == failuresOf({ticket_refused {10, "operator-1", "E602"}}));
    CHECK(names {"not_in_force"} == failuresOf({not_in_force {10, "entry-1"}}));
}
