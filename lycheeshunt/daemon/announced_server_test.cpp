// What an agent's server thread publishes, carried to its flow thread: announcements must not make
// the agent deny flows that its server has.

#include "lycheeshunt/flows/agent_fixture_test.h"
#include "lycheeshunt/servers/decision.h"

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

// The agent "a1" with both threads, and its backend server.
TEST_GROUP_BASE(announced_server, agent_fixture)
{
    servers::servers_state server;

    void setup() override
    {
        agent_fixture::setup();
        server.service = "logbook";
        server.incarnation = base::incarnation(1);
    }

    void announce(const std::string &identity, const std::string &service, std::int64_t startedAt)
    {
        const servers::server_announcement announcement {
            identity, at(startedAt), 1, service, false, slots, base::clock_time()};
        base::step<servers::servers_state, servers::server_action> next = servers::decide(
            std::move(server), servers::server_announced {base::request_id(1), announcement},
            at(now));
        server = std::move(next.state);
        for (const servers::server_action &action : next.actions) {
            if (const servers::server_status *status = std::get_if<servers::server_status>(&action))
                apply(server_changed {status->incarnation, status->isAccepting, status->slots,
                                      status->startedBeforeAgent});
        }
    }
};

// Guards against resets of open flows (review case 9): an announcement of another writer moved the
// agent to a service without flows. The other agents then got no answer about flows that its server
// has, and an entry without a hint reset them.
TEST(announced_server, anOpenFlowIsFoundAfterAnAnnouncementOfAnotherService)
{
    announce("i-1", "logbook", 5000);
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector));
    receiveFromServer(summaryOf(opening.key.caller.port, false));
    announce("i-9", "ledger", 9000);
    const membership::member asker = agentNamed("a2", 2);
    apply(peer_message(flow_lookup {logbook, opening.key,
                                    routing::target {asker.id(), asker.incarnation, asker.packets},
                                    base::generation(1)}));
    const std::vector<lookup_answer> answers = sentMessages<lookup_answer>();
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().verdict == lookup_verdict::owned);
    CHECK(answers.front().owner.node == nodeOf("a1"));
}
