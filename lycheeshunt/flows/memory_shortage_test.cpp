// Whichever allocation fails while a message is handled, the decision reports it and gives its
// state back, and the next message is handled as usual.

#include "lycheeshunt/base/failing_memory_test.h"
#include "lycheeshunt/flows/agent_fixture_test.h"

#include <functional>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

TEST_GROUP_BASE(memory_shortage, agent_fixture) {
    void setup() override {MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
agent_fixture::setup();
}
void teardown() override
{
    state.reset();
    std::vector<flow_action>().swap(actions);
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
}

// Handles the message once for each allocation in it, which fails. Returns how many there were.
std::size_t handleWithFailures(const std::function<flow_message()> &messageOf)
{
    std::size_t failures = 0;
    for (;; ++failures) {
        agent_fixture::setup();
        const flow_message message = messageOf();
        std::optional<base::step<flow_state, flow_action>> next;
        {
            const base::failing_memory shortage(failures);
            next.emplace(decide(std::move(*state), message, at(now)));
        }
        state = std::make_unique<flow_state>(std::move(next->state));
        if (!next->fault)
            return failures;
        CHECK(next->fault->code == base::error_code::unexpectedError);
        checkServes();
    }
}

// The agent opens a further flow at its server.
void checkServes()
{
    const packets::ip_summary further = summaryOf(60'000, true);
    apply(packetFor(further, packet_stage::toDirector));
    LONGS_EQUAL(1, actionsOf<deliver_to_server>().size());
    receiveFromServer(summaryOf(60'000, false));
    LONGS_EQUAL(1, actionsOf<answer_caller>().size());
}
}
;

TEST(memory_shortage, anOpeningPacketThatCantBeHandledLeavesTheAgentServing)
{
    CHECK(handleWithFailures([this]() {
              return flow_message(packetFor(summaryOf(1, true), packet_stage::toDirector));
          })
          > 0);
}

TEST(memory_shortage, aPacketOfAnUnknownFlowThatCantBeHandledLeavesTheAgentServing)
{
    CHECK(handleWithFailures([this]() {
              return flow_message(packetFor(summaryOf(1, false, 10), packet_stage::toDirector));
          })
          > 0);
}

TEST(memory_shortage, aTickThatCantBeHandledLeavesTheAgentServing)
{
    CHECK(handleWithFailures([this]() {
              apply(packetFor(summaryOf(1, true), packet_stage::toDirector));
              receiveFromServer(summaryOf(1, false));
              now += 200;
              return flow_message(tick {});
          })
          > 0);
}
