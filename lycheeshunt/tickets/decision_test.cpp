#include "lycheeshunt/tickets/decision.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::tickets;

namespace {

const base::endpoint address {0xc0000201, 443};

ticket ticketOf(std::uint64_t number, const std::string &service)
{
    return ticket {base::ticket_number(number),
                   "test",
                   {service_definition {service, {{address, 6}}, {}, 64}}};
}

} // namespace

TEST_GROUP(ticket_decision)
{
    ticket_state state;

    std::vector<ticket_action> run(const ticket_message &message)
    {
        base::step<ticket_state, ticket_action> next = decide(std::move(state), message);
        state = std::move(next.state);
        return next.actions;
    }

    const ticket_refusal *refusalIn(const std::vector<ticket_action> &actions)
    {
        return std::get_if<ticket_refusal>(&std::get<ticket_answer>(actions.at(0)).outcome);
    }
};

TEST(ticket_decision, aTicketSentAgainGetsTheFirstAnswer)
{
    const ticket wanted = ticketOf(1, "logbook");
    CHECK(std::holds_alternative<propose_ticket>(
        run(submit_ticket {base::request_id(1), wanted}).at(0)));
    CHECK(run(submit_ticket {base::request_id(2), wanted}).empty());
    const ticket_record record {wanted, base::generation(5), base::clock_time::ofSeconds(9)};
    LONGS_EQUAL(2, run(ticket_committed {record}).size());
    const std::vector<ticket_action> again = run(submit_ticket {base::request_id(3), wanted});
    const ticket_action expected = ticket_answer {base::request_id(3), record};
    CHECK(again.at(0) == expected);
}

TEST(ticket_decision, otherContentUnderATakenNumberIsRefused)
{
    run(submit_ticket {base::request_id(1), ticketOf(1, "logbook")});
    const std::vector<ticket_action> answers
        = run(submit_ticket {base::request_id(2), ticketOf(1, "inspect")});
    CHECK(refusalIn(answers)->faults.at(0).code == base::error_code::ticketNumberTaken);
}

TEST(ticket_decision, everyFaultIsNamedAndNothingChanges)
{
    const service_definition nameless {"", {}, service_limits {0}, 0};
    const ticket bad {base::ticket_number(0), "test", {nameless}};
    const std::vector<ticket_action> answers = run(submit_ticket {base::request_id(1), bad});
    LONGS_EQUAL(4, refusalIn(answers)->faults.size());
    CHECK(state == ticket_state {});
}
