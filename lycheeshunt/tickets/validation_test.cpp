#include "lycheeshunt/tickets/validation.h"

#include "lycheeshunt/tickets/ticket_state.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::tickets;
using base::error_code;

namespace {

const service_address first {base::endpoint {0xc0000201, 443}, 6};
const service_address second {base::endpoint {0xc0000202, 443}, 6};

struct fault_case
{
    const char *what;
    std::vector<ticket_change> changes;
    error_code code;
    const char *detail;
};

service_definition logbook(const service_limits &limits)
{
    return service_definition {"logbook", {first}, limits, 64};
}

std::vector<ticket_change> manyChanges()
{
    constexpr int tooMany = 65;
    std::vector<ticket_change> changes;
    changes.reserve(tooMany);
    for (int i = 0; i < tooMany; ++i)
        changes.emplace_back(drain_order {"agent-" + std::to_string(i)});
    return changes;
}

ticket_state stateWithInspect()
{
    ticket_state state;
    applyTicket(
        state,
        ticket {base::ticket_number(3),
                "test",
                {service_definition {"inspect", {second}, {}, 64}, drain_order {"agent-1"}}});
    return state;
}

} // namespace

TEST_GROUP(ticket_validation) {};

TEST(ticket_validation, eachFaultHasItsCode)
{
    const service_definition sameAddress {"logbook", {first, first}, {}, 64};
    const service_definition noPort {"logbook", {{base::endpoint {1, 0}, 6}}, {}, 64};
    const service_definition otherProtocol {"logbook", {{base::endpoint {1, 1}, 1}}, {}, 64};
    const service_definition manyAddresses {
        "logbook", std::vector<service_address>(300, first), {}, 64};
    const fault_case cases[] = {
        {"no change", {}, error_code::ticketBadField, "changes nothing"},
        {"name too long",
         {service_definition {std::string(64, 'x'), {first}, {}, 64}},
         error_code::ticketBadField,
         "longer than 63"},
        {"name with a space",
         {service_definition {"log book", {first}, {}, 64}},
         error_code::ticketBadField,
         "space"},
        {"slots", {logbook({0})}, error_code::ticketBadField, "slots"},
        {"connections", {logbook({7, 0})}, error_code::ticketBadField, "connections"},
        {"queue length", {logbook({7, 1, 100'001})}, error_code::ticketBadField, "queue_length"},
        {"queue wait",
         {logbook({7, 1, 1, base::clock_time::ofSeconds(61)})},
         error_code::ticketBadField,
         "queue_wait_ms"},
        {"long work age",
         {logbook({7, 1, 1, {}, base::clock_time()})},
         error_code::ticketBadField,
         "long_work_age_ms"},
        {"slots for short work",
         {logbook({7, 1, 1, {}, base::clock_time::ofMillis(1), 7})},
         error_code::ticketBadField,
         "short_only_slots"},
        {"buckets",
         {service_definition {"logbook", {first}, {}, 65'537}},
         error_code::ticketBadField,
         "buckets"},
        {"buckets changed",
         {service_definition {"inspect", {second}, {}, 128}},
         error_code::ticketBucketsFixed,
         "inspect has 64"},
        {"address twice", {sameAddress}, error_code::ticketDuplicate, "192.0.2.1:443"},
        {"address without a port", {noPort}, error_code::ticketBadField, "address"},
        {"address of another protocol", {otherProtocol}, error_code::ticketBadField, "address"},
        {"too many addresses", {manyAddresses}, error_code::ticketTooLarge, "256"},
        {"address of another service",
         {service_definition {"logbook", {second}, {}, 64}},
         error_code::ticketAddressClash,
         "in inspect and logbook"},
        {"object twice",
         {drain_order {"agent-2"}, drain_order {"agent-2", false}},
         error_code::ticketDuplicate,
         "node agent-2"},
        {"too many changes", manyChanges(), error_code::ticketTooLarge, "64"},
        {"removal of no service",
         {service_removal {"ledger"}},
         error_code::ticketServiceUnknown,
         "ledger"},
        {"nameless node", {drain_order {""}}, error_code::ticketBadField, "node"},
    };
    const ticket_state state = stateWithInspect();
    for (const fault_case &each : cases) {
        const std::vector<base::error> faults
            = faultsOf(ticket {base::ticket_number(9), "test", each.changes}, state);
        CHECK_TEXT(!faults.empty(), each.what);
        CHECK_TEXT(faults.front().code == each.code, each.what);
        STRCMP_CONTAINS_TEXT(each.detail, faults.front().detail.c_str(), each.what);
    }
}

TEST(ticket_validation, numbersOfAnObjectOnlyGrow)
{
    const ticket_state state = stateWithInspect();
    for (const std::uint64_t number : {1, 2, 3}) {
        const ticket late {base::ticket_number(number), "test", {drain_order {"agent-1", false}}};
        CHECK(faultsOf(late, state).at(0).code == error_code::ticketOutOfOrder);
    }
    CHECK(faultsOf(ticket {base::ticket_number(4), "test", {drain_order {"agent-1"}}}, state)
              .empty());
    CHECK(faultsOf(ticket {base::ticket_number(1), "test", {drain_order {"agent-9"}}}, state)
              .empty());
}

TEST(ticket_validation, anAddressMovesWithinOneTicket)
{
    const ticket move {base::ticket_number(4),
                       "test",
                       {service_definition {"inspect", {}, {}, 64},
                        service_definition {"logbook", {second}, {}, 64}}};
    CHECK(faultsOf(move, stateWithInspect()).empty());
}
