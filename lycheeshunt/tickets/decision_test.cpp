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

    // This VM leads.
    void setup() override
    {
        run(leadership_update {});
    }

    const ticket_refusal *refusalIn(const std::vector<ticket_action> &actions)
    {
        return std::get_if<ticket_refusal>(&std::get<ticket_answer>(actions.at(0)).outcome);
    }
};

TEST(ticket_decision, aRetriedTicketGetsTheFirstAnswer)
{
    const ticket wanted = ticketOf(1, "logbook");
    CHECK(std::holds_alternative<propose_ticket>(
        run(submit_ticket {base::request_id(1), wanted}).at(0)));
    CHECK(run(submit_ticket {base::request_id(2), wanted}).empty());
    const ticket_record record {wanted, base::generation(5), base::clock_time::ofSeconds(9)};
    const std::vector<ticket_action> committed = run(ticket_committed {record});
    const std::vector<ticket_action> answers {apply_ticket {record},
                                              ticket_answer {base::request_id(1), record},
                                              ticket_answer {base::request_id(2), record}};
    CHECK(committed == answers);
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

TEST(ticket_decision, everyErrorIsReportedAndNothingChanges)
{
    const ticket_state before = state;
    const service_definition nameless {"", {}, service_limits {0}, 0};
    const ticket bad {base::ticket_number(0), "test", {nameless}};
    const std::vector<ticket_action> asked = run(submit_ticket {base::request_id(1), bad});
    const ticket_action expected = confirm_read {base::request_id(1)};
    CHECK(asked.at(0) == expected);
    const std::vector<ticket_action> answers = run(read_outcome {base::request_id(1)});
    LONGS_EQUAL(4, refusalIn(answers)->faults.size());
    CHECK(state == before);
}

TEST(ticket_decision, aTakenNumberNamesHolderTimeAndField)
{
    const ticket held = ticketOf(4, "logbook");
    run(ticket_committed {
        ticket_record {held, base::generation(5), base::clock_time::ofSeconds(86'400)}});
    const ticket other {
        base::ticket_number(4), "test", {service_definition {"logbook", {{address, 6}}, {8}, 64}}};
    const std::vector<ticket_action> answers = run(submit_ticket {base::request_id(1), other});
    const base::error &fault = refusalIn(answers)->faults.at(0);
    CHECK(fault.code == base::error_code::ticketNumberTaken);
    STRCMP_EQUAL("ticket 4 is held by test since 1970-01-02T00:00:00Z and differs in "
                 "changes[0].service.limits.slots",
                 fault.detail.c_str());
}

TEST(ticket_decision, aLateTicketNeverUndoesALaterOne)
{
    const ticket later = ticketOf(7, "logbook");
    const ticket removal {base::ticket_number(9), "test", {service_removal {"logbook"}}};
    run(ticket_committed {ticket_record {later, base::generation(1), {}}});
    run(ticket_committed {ticket_record {removal, base::generation(2), {}}});
    const ticket_state before = state;
    // Committed, since it was proposed before the others arrived.
    const ticket late = ticketOf(8, "logbook");
    CHECK(run(ticket_committed {ticket_record {late, base::generation(3), {}}}).empty());
    CHECK(state == before);
    run(submit_ticket {base::request_id(1), late});
    const std::vector<ticket_action> answers = run(read_outcome {base::request_id(1)});
    CHECK(refusalIn(answers)->faults.at(0).code == base::error_code::ticketOutOfOrder);
    // A gap is no error, and a ticket that changes other objects may arrive late.
    CHECK(std::holds_alternative<propose_ticket>(
        run(submit_ticket {base::request_id(2), ticketOf(3, "inspect")}).at(0)));
    CHECK(std::holds_alternative<propose_ticket>(
        run(submit_ticket {base::request_id(3), ticketOf(500, "logbook")}).at(0)));
}

TEST(ticket_decision, twoOperatorsWithOneNumberGetOneOutcomeInEveryOrder)
{
    const ticket mine = ticketOf(1, "logbook");
    const ticket theirs = ticketOf(1, "inspect");
    const ticket_record first {theirs, base::generation(5), base::clock_time::ofSeconds(9)};
    const ticket_record second {mine, base::generation(6), base::clock_time::ofSeconds(9)};
    // Each was proposed to another leader; theirs was committed first.
    run(submit_ticket {base::request_id(1), mine});
    const std::vector<ticket_action> answers = run(ticket_committed {first});
    LONGS_EQUAL(2, answers.size());
    const ticket_answer &answer = std::get<ticket_answer>(answers.at(1));
    CHECK(std::get<ticket_refusal>(answer.outcome).faults.at(0).code
          == base::error_code::ticketNumberTaken);
    CHECK(run(ticket_committed {second}).empty());
    CHECK(state.records.at(base::ticket_number(1)) == first);
    CHECK(state.pending.empty());
}

TEST(ticket_decision, theEndOfLeadershipAnswersAllPendingRequests)
{
    const base::error reason {base::error_code::notLeader, "the leader is control-2"};
    const ticket wanted = ticketOf(1, "logbook");
    run(submit_ticket {base::request_id(1), wanted});
    run(submit_ticket {base::request_id(2), wanted});
    const std::vector<ticket_action> answers = run(leadership_update {reason});
    LONGS_EQUAL(2, answers.size());
    CHECK(refusalIn(answers)->faults.at(0).code == base::error_code::ticketOutcomeUnknown);
    CHECK(state.pending.empty());
    // Not proposed by a VM that does not lead; recorded once it is committed.
    CHECK(refusalIn(run(submit_ticket {base::request_id(3), wanted}))->faults.at(0) == reason);
    const ticket_record record {wanted, base::generation(5), base::clock_time::ofSeconds(9)};
    run(ticket_committed {record});
    const ticket_action expected = ticket_answer {base::request_id(4), record};
    CHECK(run(submit_ticket {base::request_id(4), wanted}).at(0) == expected);
}

TEST(ticket_decision, aLateRefusalDoesNotAnswerANewProposal)
{
    const base::error reason {base::error_code::notLeader, "the leader is control-2"};
    const ticket wanted = ticketOf(1, "logbook");
    run(submit_ticket {base::request_id(1), wanted});
    run(leadership_update {reason});
    run(leadership_update {});
    run(submit_ticket {base::request_id(2), wanted});
    CHECK(run(proposal_rejected {1, reason}).empty());
    LONGS_EQUAL(1, run(proposal_rejected {2, reason}).size());
    CHECK(state.pending.empty());
}

TEST(ticket_decision, aReadIsAnsweredOnlyWhenThisVmIsCurrent)
{
    const base::error reason {base::error_code::quorumLost, "leadership ended"};
    run(ticket_committed {ticket_record {ticketOf(1, "logbook"), base::generation(1), {}}});
    for (const std::optional<base::error> &failure :
         {std::optional<base::error>(), std::optional<base::error>(reason)}) {
        const std::vector<ticket_action> asked
            = run(get_ticket {base::request_id(1), base::ticket_number(1)});
        CHECK(std::holds_alternative<confirm_read>(asked.at(0)));
        const std::vector<ticket_action> answers = run(read_outcome {base::request_id(1), failure});
        CHECK((refusalIn(answers) != nullptr) == failure.has_value());
    }
    CHECK(state.reads.empty());
}
