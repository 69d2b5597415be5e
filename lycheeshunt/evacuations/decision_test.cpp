// Evacuation orders that are repeated, withdrawn, lost before their commit or sent to the wrong VM,
// driven without sockets or a log.

#include "lycheeshunt/evacuations/decision.h"

#include "lycheeshunt/evacuations/codec.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::evacuations;

namespace {

const base::endpoint leaderApi {0x0a000004, 8080};
const evacuation_order evacuation {"zone-1", true};
const evacuation_order withdrawal {"zone-1", false};
const base::error lost {base::error_code::quorumLost, ""};

} // namespace

TEST_GROUP(evacuations)
{
    evacuations_state state;
    std::vector<evacuation_action> actions;
    std::uint64_t generation = 0;

    void setup() override
    {
        give(leadership_update {true, leaderApi});
    }

    void give(const evacuation_message &message)
    {
        base::step<evacuations_state, evacuation_action> next = decide(std::move(state), message);
        state = std::move(next.state);
        actions.swap(next.actions);
    }

    template <typename action_type>
    std::vector<action_type> all() const
    {
        std::vector<action_type> found;
        for (const evacuation_action &action : actions) {
            if (const action_type *known = std::get_if<action_type>(&action))
                found.push_back(*known);
        }
        return found;
    }

    // Submits an order and confirms that this VM is current.
    void submit(std::uint64_t request, const evacuation_order &order)
    {
        give(submit_order {base::request_id(request), order});
        CHECK(all<order_answer>().empty());
        CHECK(all<propose_order>().empty());
        LONGS_EQUAL(1, all<confirm_read>().size());
        give(read_outcome {base::request_id(request)});
    }

    void commit(const evacuation_order &order)
    {
        give(order_committed {base::generation(++generation), order});
    }

    bool isAccepted(std::uint64_t request) const
    {
        for (const order_answer &answer : all<order_answer>()) {
            if (answer.request == base::request_id(request))
                return std::holds_alternative<order_accepted>(answer.outcome);
        }
        return false;
    }

    bool isFailed(std::uint64_t request) const
    {
        for (const order_answer &answer : all<order_answer>()) {
            if (answer.request == base::request_id(request))
                return std::holds_alternative<base::error>(answer.outcome);
        }
        return false;
    }
};

// Guards against an accepted order that is lost with the leader.
TEST(evacuations, anOrderIsAcceptedOnlyOnceItIsCommitted)
{
    submit(1, evacuation);
    CHECK(all<order_answer>().empty());
    CHECK(all<propose_order>().front().order == evacuation);
    CHECK(state.evacuated.empty());
    commit(evacuation);
    CHECK(isAccepted(1));
    CHECK(state.evacuated == std::set<std::string> {"zone-1"});
}

// Guards against an acceptance by a leader that fails before the commit.
TEST(evacuations, anOrderWhoseLeaderFallsBeforeTheCommitHasAnUnknownOutcome)
{
    submit(1, evacuation);
    give(leadership_update {false, leaderApi});
    CHECK(isFailed(1));
    // It may still be committed; no request waits for it any more.
    commit(evacuation);
    CHECK(all<order_answer>().empty());
    // The operator repeats the order at the VM that leads next, here the same one.
    give(leadership_update {true, leaderApi});
    submit(2, evacuation);
    CHECK(isAccepted(2));
}

// Guards against an order that stays without an answer when its VM stops leading before it has
// proposed anything.
TEST(evacuations, anOrderThatIsNotProposedYetGoesToTheNextLeader)
{
    give(submit_order {base::request_id(1), evacuation});
    give(leadership_update {false, base::endpoint {0x0a000005, 8080}});
    const redirect_to_leader elsewhere
        = std::get<redirect_to_leader>(all<order_answer>().front().outcome);
    LONGS_EQUAL(0x0a000005, elsewhere.api.address);
    give(read_outcome {base::request_id(1)});
    CHECK(actions.empty());
}

// Guards against operators that repeat an order because they did not get its answer.
TEST(evacuations, aRepeatedOrderIsAcceptedAfterAConfirmedRead)
{
    submit(1, evacuation);
    commit(evacuation);
    submit(2, evacuation);
    CHECK(isAccepted(2));
    CHECK(all<propose_order>().empty());
    // A former leader that has not yet received a message of its successor must not confirm it.
    give(submit_order {base::request_id(3), evacuation});
    give(read_outcome {base::request_id(3), lost});
    CHECK(isFailed(3));
}

TEST(evacuations, anOrderIsRepeatedWhileTheFirstOneIsUnderWay)
{
    submit(1, evacuation);
    submit(2, evacuation);
    commit(evacuation);
    CHECK(isAccepted(1));
    CHECK_FALSE(isAccepted(2));
    commit(evacuation);
    CHECK(isAccepted(2));
}

// Guards against an order that is answered as if it were in force while a later one of the same
// zone is under way.
TEST(evacuations, theLastOrderOfAZoneIsInForce)
{
    submit(1, evacuation);
    submit(2, withdrawal);
    submit(3, evacuation);
    commit(evacuation);
    CHECK(isAccepted(1));
    CHECK_FALSE(isAccepted(3));
    commit(withdrawal);
    CHECK(isAccepted(2));
    CHECK(state.evacuated.empty());
    commit(evacuation);
    CHECK(isAccepted(3));
    CHECK(state.evacuated.count("zone-1") > 0);
}

TEST(evacuations, aZoneThatWasNeverEvacuatedIsReturnedToServiceWithoutAnEntry)
{
    submit(1, withdrawal);
    CHECK(isAccepted(1));
    CHECK(all<propose_order>().empty());
}

TEST(evacuations, ordersOfOtherZonesDoNotWaitForEachOther)
{
    submit(1, evacuation);
    submit(2, evacuation_order {"zone-2", true});
    commit(evacuation_order {"zone-2", true});
    CHECK(isAccepted(2));
    CHECK_FALSE(isAccepted(1));
}

TEST(evacuations, aRejectedProposalMayBeRepeated)
{
    submit(1, evacuation);
    give(proposal_rejected {all<propose_order>().front().token,
                            base::error {base::error_code::tooBusy, ""}});
    CHECK(isFailed(1));
    submit(2, evacuation);
    commit(evacuation);
    CHECK(isAccepted(2));
}

TEST(evacuations, aVmThatDoesNotLeadSendsOperatorsToTheOneThatDoes)
{
    give(leadership_update {false, leaderApi});
    give(submit_order {base::request_id(1), evacuation});
    CHECK(std::get<redirect_to_leader>(all<order_answer>().front().outcome)
          == (redirect_to_leader {leaderApi, "zone-1"}));
    give(leadership_update {false, {}});
    give(submit_order {base::request_id(2), evacuation});
    CHECK(isFailed(2));
}

TEST(evacuations, encodedOrdersDecodeToTheSameOrder)
{
    for (const evacuation_order &order :
         {evacuation, withdrawal, evacuation_order {std::string(maxZoneBytes, 'z'), true}}) {
        const std::string bytes = encodeOrder(order);
        CHECK(base::valueOf(decodeOrder(bytes)) == order);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(base::isOk(decodeOrder(std::string_view(bytes).substr(0, length))));
    }
    for (const std::size_t length : {std::size_t(0), maxZoneBytes + 1})
        CHECK_FALSE(base::isOk(decodeOrder(encodeOrder({std::string(length, 'z'), true}))));
}
