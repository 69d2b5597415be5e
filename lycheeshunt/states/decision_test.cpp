// Desired states that race, are retried or arrive late, driven without sockets or a log.

#include "lycheeshunt/states/decision.h"

#include "lycheeshunt/states/codec.h"
#include "lycheeshunt/tickets/bounds.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::states;

namespace {

const base::service_id logbook = base::serviceIdOf("logbook");
const base::service_id inspect = base::serviceIdOf("inspect");
const tickets::service_address address {base::endpoint {0xc6120001, 443}, 6};
const base::endpoint leaderApi {0x0a000004, 8080};

shared_state stateOf(std::uint64_t version, base::service_id service = logbook,
                     const std::string &document = "{}")
{
    return std::make_shared<const desired_state>(desired_state {
        version,
        document,
        {tickets::service_definition {"logbook"}, tickets::service_definition {"inspect"}},
        {tickets::address_route {address, {tickets::route_share {service, 1}}}}});
}

base::request_id requestOf(std::uint64_t number)
{
    return base::request_id(number);
}

} // namespace

TEST_GROUP(states)
{
    states_state state;
    std::vector<state_action> actions;

    void setup() override
    {
        give(leadership_update {true, leaderApi});
        // The first confirmed read shows that the log of earlier leaders has been applied.
        give(get_state {requestOf(999)});
        give(read_outcome {requestOf(999)});
    }

    void give(const state_message &message)
    {
        base::step<states_state, state_action> next = decide(std::move(state), message);
        state = std::move(next.state);
        actions.swap(next.actions);
    }

    template <typename action_type>
    std::vector<action_type> all() const
    {
        std::vector<action_type> found;
        for (const state_action &action : actions) {
            if (const action_type *known = std::get_if<action_type>(&action))
                found.push_back(*known);
        }
        return found;
    }

    // Submits and lets the log commit what is proposed.
    void put(std::uint64_t version, base::service_id service = logbook)
    {
        give(submit_state {requestOf(version), stateOf(version, service)});
        const std::vector<propose_state> proposed = all<propose_state>();
        CHECK_EQUAL(1U, proposed.size());
        give(state_committed {proposed.front().state});
        CHECK_EQUAL(1U, all<state_answer>().size());
    }

    bool isAccepted(std::uint64_t request) const
    {
        for (const state_answer &answer : all<state_answer>()) {
            if (answer.request == requestOf(request))
                return std::holds_alternative<state_accepted>(answer.outcome);
        }
        return false;
    }
};

TEST(states, aStateIsAcceptedOnceItIsCommitted)
{
    give(submit_state {requestOf(1), stateOf(4)});
    CHECK(all<state_answer>().empty());
    give(state_committed {all<propose_state>().front().state});
    CHECK(isAccepted(1));
    CHECK_EQUAL(4U, state.currentVersion());
}

TEST(states, aVersionThatIsNotHigherIsAcceptedAfterAConfirmedReadAndChangesNothing)
{
    put(7, logbook);
    for (const std::uint64_t version : {7U, 3U}) {
        give(submit_state {requestOf(20), stateOf(version, inspect, "{\"other\":1}")});
        CHECK(all<propose_state>().empty());
        CHECK_EQUAL(1U, all<confirm_read>().size());
        give(read_outcome {requestOf(20)});
        CHECK(isAccepted(20));
        CHECK(*state.current == *stateOf(7, logbook));
    }
}

TEST(states, aRaceOnOneNumberIsWonByTheFirstAndBothAreAccepted)
{
    give(submit_state {requestOf(1), stateOf(5, logbook)});
    const propose_state first = all<propose_state>().front();
    give(submit_state {requestOf(2), stateOf(5, inspect)});
    CHECK(all<propose_state>().empty());
    give(state_committed {first.state});
    CHECK(isAccepted(1));
    CHECK(isAccepted(2));
    CHECK(state.current->routes.front().hasShare(logbook));
}

TEST(states, theHighestNumberIsInForceWhateverTheOrderInTheLog)
{
    give(state_committed {stateOf(9, inspect)});
    give(state_committed {stateOf(8, logbook)});
    CHECK_EQUAL(9U, state.currentVersion());
    CHECK(state.current->routes.front().hasShare(inspect));
}

TEST(states, aHigherStateAnswersForLowerOnesThatWait)
{
    give(submit_state {requestOf(1), stateOf(5)});
    give(submit_state {requestOf(2), stateOf(6)});
    give(state_committed {all<propose_state>().front().state});
    CHECK(isAccepted(1));
    CHECK(isAccepted(2));
}

TEST(states, aVmThatDoesNotLeadSendsOperatorsToTheOneThatDoes)
{
    give(leadership_update {false, leaderApi});
    for (const state_message &message : {state_message(get_state {requestOf(1)}),
                                         state_message(submit_state {requestOf(1), stateOf(1)})}) {
        give(message);
        const state_outcome outcome = all<state_answer>().front().outcome;
        CHECK(std::get<redirect_to_leader>(outcome).api == leaderApi);
    }
    give(leadership_update {false, {}});
    give(get_state {requestOf(2)});
    CHECK(std::holds_alternative<base::error>(all<state_answer>().front().outcome));
}

TEST(states, aReadThatNoQuorumConfirmsIsRefused)
{
    put(3);
    give(get_state {requestOf(8)});
    CHECK(all<state_answer>().empty());
    give(read_outcome {requestOf(8), base::error {base::error_code::quorumLost, ""}});
    CHECK(std::holds_alternative<base::error>(all<state_answer>().front().outcome));
    give(get_state {requestOf(9)});
    give(read_outcome {requestOf(9)});
    const state_outcome outcome = all<state_answer>().front().outcome;
    CHECK_EQUAL(3U, std::get<state_contents>(outcome).state->version);
}

TEST(states, theEndOfLeadershipNeverReportsAStateAsAccepted)
{
    give(submit_state {requestOf(1), stateOf(5)});
    const propose_state proposed = all<propose_state>().front();
    give(leadership_update {false, leaderApi});
    CHECK(std::holds_alternative<base::error>(all<state_answer>().front().outcome));
    // It may still be committed; no request waits for it any more.
    give(state_committed {proposed.state});
    CHECK(all<state_answer>().empty());
    CHECK_EQUAL(5U, state.currentVersion());
}

// Guards against resets of open flows (review case 8): a state that is submitted to a new leader
// before it has applied its log was built on an older one, and lost the former services of its
// routes.
TEST(states, aStateSubmittedToANewLeaderIsBuiltOnTheStatesBeforeItsLeadership)
{
    state = states_state {};
    give(leadership_update {true, leaderApi});
    give(submit_state {requestOf(1), stateOf(9, inspect)});
    CHECK(all<propose_state>().empty());
    CHECK_EQUAL(1U, all<confirm_read>().size());
    // The entries of earlier leaders reach this duty later than the leadership.
    give(state_committed {stateOf(7, logbook)});
    give(read_outcome {requestOf(1)});
    const propose_state proposed = all<propose_state>().front();
    CHECK(proposed.state->routes.front().former == std::vector<base::service_id> {logbook});
    // From now on a submission needs no read.
    give(submit_state {requestOf(2), stateOf(10, inspect)});
    CHECK_EQUAL(1U, all<propose_state>().size());
    give(state_committed {proposed.state});
    CHECK(isAccepted(1));
}

TEST(states, aSubmissionThatTheLogHasOvertakenMeanwhileChangesNothing)
{
    state = states_state {};
    give(leadership_update {true, leaderApi});
    give(submit_state {requestOf(1), stateOf(6, inspect)});
    give(state_committed {stateOf(7, logbook)});
    give(read_outcome {requestOf(1)});
    CHECK(all<propose_state>().empty());
    give(read_outcome {requestOf(1)});
    CHECK(isAccepted(1));
    CHECK(*state.current == *stateOf(7, logbook));
}

// Guards against the same fault at a VM that leads again: a read that was confirmed in its earlier
// leadership says nothing of the states committed between the two.
TEST(states, aReadOfAnEarlierLeadershipDoesNotMakeThePresentOneCurrent)
{
    give(submit_state {requestOf(1), stateOf(5)});
    give(get_state {requestOf(2)});
    give(leadership_update {false, leaderApi});
    // No request waits for the end of another VM's leadership.
    CHECK_EQUAL(2U, all<state_answer>().size());
    give(leadership_update {true, leaderApi});
    give(read_outcome {requestOf(2)});
    CHECK(all<state_answer>().empty());
    give(submit_state {requestOf(3), stateOf(9, inspect)});
    CHECK(all<propose_state>().empty());
    give(read_outcome {requestOf(3), base::error {base::error_code::quorumLost, ""}});
    CHECK(std::holds_alternative<base::error>(all<state_answer>().front().outcome));
}

TEST(states, aRejectedProposalMayBeRetried)
{
    give(submit_state {requestOf(1), stateOf(5)});
    give(state_proposal_rejected {all<propose_state>().front().token,
                                  base::error {base::error_code::tooBusy, ""}});
    CHECK(std::holds_alternative<base::error>(all<state_answer>().front().outcome));
    put(5);
}

TEST(states, aRouteKeepsItsFormerServices)
{
    put(1, logbook);
    put(2, inspect);
    const tickets::address_route moved = state.current->routes.front();
    CHECK(moved.hasShare(inspect));
    CHECK(moved.former == std::vector<base::service_id> {logbook});
    put(3, logbook);
    CHECK(state.current->routes.front().former == std::vector<base::service_id> {inspect});
}

// Guards against resets of open flows after a route has changed its service often: an entry
// searches a flow only at the services that the route lists, and refuses the caller when none has
// it.
TEST(states, aRouteKeepsEveryFormerServiceOrIsMarkedIncomplete)
{
    const auto service
        = [](std::size_t number) { return base::serviceIdOf("service-" + std::to_string(number)); };
    const std::size_t listed = tickets::maxFormerServices;
    for (std::size_t i = 0; i <= listed; ++i) {
        put(i + 1, service(i));
        const tickets::address_route &route = state.current->routes.front();
        CHECK_EQUAL(i, route.former.size());
        CHECK_FALSE(route.isFormerIncomplete);
    }
    CHECK(state.current->routes.front().former.back() == service(0));
    put(listed + 2, service(listed + 1));
    CHECK_EQUAL(listed, state.current->routes.front().former.size());
    CHECK(state.current->routes.front().isFormerIncomplete);
    // The omitted service may still have flows when the list gets shorter again.
    put(listed + 3, service(listed));
    CHECK(state.current->routes.front().isFormerIncomplete);
    CHECK(*base::valueOf(decodeState(encodeState(*state.current))) == *state.current);
}

// Guards against reads that show an older state at a VM that can't decode the newest one.
TEST(states, aReadIsRefusedUntilANewerStateCanBeDecoded)
{
    const auto read = [this](std::uint64_t request) {
        give(get_state {requestOf(request)});
        give(read_outcome {requestOf(request), std::nullopt});
        return all<state_answer>().front().outcome;
    };
    put(5);
    give(undecodable_state_committed {7});
    const state_outcome refused = read(100);
    CHECK(std::get<base::error>(refused).code == base::error_code::stateUndecodable);
    // A version that the log has overtaken changes nothing, and is no cure.
    give(submit_state {requestOf(6), stateOf(6)});
    CHECK(all<propose_state>().empty());
    give(state_committed {stateOf(6)});
    CHECK(std::holds_alternative<base::error>(read(101)));
    put(8);
    CHECK(std::get<state_contents>(read(102)).state->version == 8);
    // Not even the version can be decoded; a delayed copy of an overtaken one changes nothing.
    give(undecodable_state_committed {3});
    CHECK(std::holds_alternative<state_contents>(read(103)));
    give(undecodable_state_committed {});
    CHECK(std::holds_alternative<base::error>(read(104)));
}

TEST(states, encodedStatesDecodeToTheSameState)
{
    const std::string document(100'000, 'x');
    const desired_state sent = *stateOf(77, inspect, document);
    const std::string bytes = encodeState(sent);
    CHECK(bytes.size() < document.size() / 10);
    CHECK(*base::valueOf(decodeState(bytes)) == sent);
    CHECK_EQUAL(77U, base::valueOf(versionOf(bytes)));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(base::isOk(decodeState(std::string_view(bytes).substr(0, length))));
}
