// The agents' side of a hedged opening: an entry has sent a second copy of an opening packet, which
// is in doubt but no retransmission of the caller, to the backup director.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

struct hedged_openings_fixture : public agent_fixture
{
    std::unique_ptr<flow_state> other;

    // Makes "a2" the agent under test, and "a1" the other one, or the reverse.
    void switchAgents() { state.swap(other); }

    void setup() override
    {
        agent_fixture::setup();
        const membership::member second = agentNamed("a2", 2);
        other = std::make_unique<flow_state>(agent_identity {
            second.id(), logbook, second.incarnation, second.packets, "zone-1", true});
        const dissemination::shared_view view = state->view;
        switchAgents();
        apply(view_update {view});
        setServer(true);
        switchAgents();
    }

    forwarded_packet hedgeOf(const packets::ip_summary &opening)
    {
        return packetFor(opening, packet_stage::toDirector)
            .with(packet_stage::toDirector, {}, true);
    }

    // The agent delivers the packet, and its server answers.
    void openWith(const forwarded_packet &packet)
    {
        apply(packet);
        LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
        receiveFromServer(summaryOf(packet.summary.key.caller.port, false));
        LONGS_EQUAL(1, actionsOf<answer_caller>().size());
        LONGS_EQUAL(1, sentMessages<opening_hint>().size());
    }
};

} // namespace

TEST_GROUP_BASE(hedged_openings, hedged_openings_fixture) {};

// Guards against two owners of a flow, and against a reset of the one that the caller uses, when
// the servers beside two agents have both accepted the opening packet.
TEST(hedged_openings, aFlowThatTwoServersAcceptedIsOpenAtOneAndTheOtherEndsInSilence)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    openWith(packetFor(opening, packet_stage::toDirector));
    switchAgents();
    openWith(hedgeOf(opening));
    CHECK_FALSE(state->owned.find(opening.key)->isClaimed());
    switchAgents();
    apply(packetFor(summaryOf(opening.key.caller.port, false, 10), packet_stage::toOwner));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    CHECK(state->owned.find(opening.key)->phase == flow_phase::open);
    switchAgents();
    for (int i = 0; i < 80; ++i) {
        now += 100;
        apply(tick {});
        CHECK(actionsOf<reset_caller>().empty());
        // The end of a flow that was registered for another agent has no effect at its director.
        for (const registration_batch &batch : sentMessages<registration_batch>())
            CHECK_FALSE(batch.flows.front().alive);
    }
    CHECK(state->owned.find(opening.key) == nullptr);
}

// Guards against a reset of a flow that the first copy has opened elsewhere.
TEST(hedged_openings, aSecondCopyForWhichNoAgentHasRoomIsNotReset)
{
    setServer(false);
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(hedgeOf(opening));
    CHECK(actionsOf<reset_caller>().empty());
    LONGS_EQUAL(1, actionsOf<refuse_packet>().size());
}

// Guards against second owners: a first copy that is registered leads the second one to its agent.
TEST(hedged_openings, aSecondCopyOfARegisteredFlowGoesToItsOwner)
{
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    const std::vector<registration_batch> registered = sentMessages<registration_batch>();
    CHECK_FALSE(registered.empty());
    switchAgents();
    apply(peer_message(registered.front()));
    apply(hedgeOf(opening));
    CHECK(actionsOf<deliver_to_server>().empty());
    CHECK(actionsOf<send_packet>().front().to == agentNamed("a1", 1).packets);
}
