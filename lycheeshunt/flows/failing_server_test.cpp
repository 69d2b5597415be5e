// A backend server that accepts flows and ends them instead of answering their requests, while its
// health check is good. It is always idle, so placement by load alone prefers it.

#include "lycheeshunt/flows/agent_fixture_test.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

constexpr std::uint16_t requestBytes = 900;
constexpr int outcomesToJudge = 6;

} // namespace

TEST_GROUP_BASE(failing_server, agent_fixture)
{
    std::uint16_t lastPort = 0;

    void setup() override
    {
        start(true);
    }

    void start(bool reports)
    {
        reportsFailures = reports;
        agent_fixture::setup();
    }

    // Offers the server a flow with one request, which it answers or ends. Returns whether the
    // server got the flow.
    bool openAndRequest(bool isAnswered)
    {
        const std::uint16_t port = ++lastPort;
        apply(packetFor(summaryOf(port, true), packet_stage::toDirector));
        if (actionsOf<deliver_to_server>().empty())
            return false;
        const packets::ip_summary request = summaryOf(port, false, requestBytes);
        receiveFromServer(packets::ip_summary {request.key});
        apply(packetFor(request, packet_stage::toOwner));
        receiveFromServer(packets::ip_summary {request.key, false, false, !isAnswered,
                                               isAnswered ? requestBytes : std::uint16_t(0)});
        return true;
    }

    int openMany(int count, bool isAnswered)
    {
        int opened = 0;
        for (int i = 0; i < count; ++i)
            opened += openAndRequest(isAnswered) ? 1 : 0;
        return opened;
    }
};

TEST(failing_server, newFlowsGoElsewhereWhileMostRequestsFail)
{
    receivePeerReports();
    openMany(outcomesToJudge, false);
    CHECK(state->placement->ownLoad->failing);
    LONGS_EQUAL(0, openMany(20, false));
    CHECK(actionsOf<send_packet>().front().packet.stage == packet_stage::offer);
}

// Guards against a server that is never used again after it has recovered.
TEST(failing_server, aServerIsTriedAgainAfterSomeSecondsAndServesOnceItAnswers)
{
    receivePeerReports();
    openMany(outcomesToJudge, false);
    now += 5000;
    receivePeerReports();
    CHECK(openMany(1, true) == 1);
    CHECK(openMany(20, true) > 0);
    CHECK_FALSE(state->placement->ownLoad->failing);
}

TEST(failing_server, aServerThatAnswersMostRequestsIsKept)
{
    receivePeerReports();
    for (int i = 0; i < 10; ++i) {
        openMany(2, true);
        openMany(1, false);
        receivePeerReports();
    }
    CHECK_FALSE(state->placement->ownLoad->failing);
}

// Guards against refusing callers when the fault is not in one server.
TEST(failing_server, aServerThatFailsIsUsedIfMostOfTheOthersFailToo)
{
    for (const char *name : {"a2", "a3"})
        apply(peer_message(placement::load_report {
            nodeOf(name), base::incarnation(1), 1,
            placement::server_load {admission::slot_counts {slots, 0, 0, 0, false, true}, 0, 0,
                                    true}}));
    openMany(outcomesToJudge, false);
    CHECK(state->placement->ownLoad->failing);
    CHECK(openMany(20, false) > 0);
}

TEST(failing_server, withoutTheSettingOutcomesChangeNothing)
{
    start(false);
    receivePeerReports();
    openMany(outcomesToJudge, false);
    CHECK_FALSE(state->placement->ownLoad->failing);
    CHECK(openMany(20, false) > 0);
}
