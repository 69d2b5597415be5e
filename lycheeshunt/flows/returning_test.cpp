// The path of packets where a backend server gives back what it does not hold: one agent at a time,
// its messages and actions as values.

#include "lycheeshunt/flows/decision.h"

#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/flows/internal/service_view.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

const base::service_id logbook = base::serviceIdOf("logbook");
const base::endpoint address {0xc6120001, 443};
const base::endpoint entry {0x0a000001, 7720};
constexpr std::uint32_t slots = 7;

base::clock_time at(std::int64_t millis)
{
    return base::clock_time::ofMillis(millis);
}

membership::member agentNamed(const std::string &name, std::uint16_t port)
{
    return membership::member {name,
                               "zone-1",
                               membership::member_role::agent,
                               logbook,
                               base::incarnation(1),
                               base::endpoint {0x0a000002, port}};
}

base::node_id nodeOf(const std::string &name)
{
    return base::nodeIdOf(name);
}

packets::ip_summary summaryOf(std::uint16_t port, bool opens, std::uint16_t payload = 0)
{
    return packets::ip_summary {base::flow_key {base::endpoint {0x64400007, port}, address, 6},
                                opens, false, false, payload};
}

packets::ip_summary returned(const packets::ip_summary &sent)
{
    return packets::ip_summary {sent.key,          sent.opens,      sent.finishes, sent.resets,
                                sent.payloadBytes, sent.isRepeated, true};
}

} // namespace

// The agent under test is "a1"; "a2" and "a3" are others of the service.
TEST_GROUP(returning)
{
    std::unique_ptr<flow_state> state;
    std::vector<flow_action> actions;
    std::int64_t now = 10'000;

    void setup() override
    {
        const membership::member self = agentNamed("a1", 1);
        state = std::make_unique<flow_state>(
            agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
        std::map<base::node_id, membership::member> members;
        for (const membership::member &member : {self, agentNamed("a2", 2), agentNamed("a3", 3)})
            members.emplace(member.id(), member);
        std::map<base::service_id, tickets::service_definition> services;
        services.emplace(logbook, tickets::service_definition {"logbook", {}, {}, 64});
        give(view_update {std::make_shared<const dissemination::cluster_view>(
            dissemination::cluster_view {base::generation(1), services, members})});
        serve(true);
    }

    void give(const flow_message &message)
    {
        base::step<flow_state, flow_action> next = decide(std::move(*state), message, at(now));
        state = std::make_unique<flow_state>(std::move(next.state));
        actions.swap(next.actions);
    }

    void serve(bool isAccepting, bool isOlder = false)
    {
        give(server_changed {logbook, base::incarnation(1), isAccepting, slots, isOlder});
    }

    // Reports of idle others, so that they can be offered flows.
    void hearOthers()
    {
        for (const char *name : {"a2", "a3"})
            give(peer_message(placement::load_report {
                nodeOf(name), base::incarnation(1), static_cast<std::uint64_t>(now + 1),
                placement::server_load {admission::slot_counts {slots}, 0}}));
    }

    forwarded_packet packetFor(const packets::ip_summary &summary, packet_stage stage,
                               std::vector<base::node_id> agents = {}, std::uint8_t hops = 0)
    {
        return forwarded_packet {logbook,
                                 base::incarnation(1),
                                 base::generation(1),
                                 stage,
                                 hops,
                                 summary,
                                 base::packet_bytes("packet"),
                                 entry,
                                 std::move(agents)};
    }

    void answer(const packets::ip_summary &summary)
    {
        give(server_answer {summary, base::packet_bytes("answer")});
    }

    template <typename action_type>
    std::vector<action_type> all() const
    {
        std::vector<action_type> found;
        for (const flow_action &action : actions) {
            if (const action_type *known = std::get_if<action_type>(&action))
                found.push_back(*known);
        }
        return found;
    }

    template <typename message_type>
    std::vector<message_type> said() const
    {
        std::vector<message_type> found;
        for (const send_to_peer &send : all<send_to_peer>()) {
            if (const message_type *known = std::get_if<message_type>(&send.message))
                found.push_back(*known);
        }
        return found;
    }

    // A flow of which this agent is the director.
    packets::ip_summary directed(bool opens, std::uint16_t payload = 0) const
    {
        for (std::uint16_t port = 1;; ++port) {
            const packets::ip_summary summary = summaryOf(port, opens, payload);
            const routing::target *director = internal::directorOf(*state, summary.key);
            if (director->node == nodeOf("a1"))
                return summary;
        }
    }

    void answerLookups(const base::flow_key &key, const std::vector<std::string> &names,
                       lookup_verdict verdict)
    {
        for (const std::string &name : names) {
            const membership::member member = agentNamed(name, name == "a2" ? 2 : 3);
            give(peer_message(lookup_answer {
                logbook, key, routing::target {member.id(), member.life, member.packets},
                base::generation(1), verdict, routing::target {}}));
        }
    }
};

TEST(returning, aNewFlowIsOpenedHereAndTheEntryHearsOfIt)
{
    give(packetFor(directed(true), packet_stage::toDirector));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    const std::vector<owner_hint> hints = said<owner_hint>();
    CHECK_EQUAL(1U, hints.size());
    CHECK(hints.front().owner.node == nodeOf("a1"));
}

TEST(returning, aDrainingAgentOffersNewFlowsToOthersAtOnceAndKeepsItsOwn)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    hearOthers();
    serve(false);
    const packets::ip_summary other {base::flow_key {base::endpoint {1, 1}, address, 6}, true};
    give(packetFor(other, packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
    CHECK(all<send_packet>().front().packet.stage == packet_stage::offer);
    give(packetFor(summaryOf(opening.key.caller.port, false, 10), packet_stage::toOwner));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

TEST(returning, whenNobodyTakesAFlowItsCallerHearsAtOnce)
{
    serve(false);
    give(packetFor(directed(true), packet_stage::toDirector));
    CHECK(all<reset_caller>().front().reason == base::error_code::noServer);
}

TEST(returning, anOpeningPacketThatTheServerGivesBackGoesToAnother)
{
    hearOthers();
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::offer, {nodeOf("a2")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    answer(returned(opening));
    const send_packet next = all<send_packet>().front();
    CHECK(next.packet.stage == packet_stage::offer);
    CHECK(next.to == agentNamed("a3", 3).packets);
    CHECK(next.packet.entry == entry);
}

TEST(returning, aServerThatLeavesAnOpeningPacketUnansweredIsPassedOver)
{
    hearOthers();
    give(packetFor(directed(true), packet_stage::toDirector));
    now += 200;
    hearOthers();
    give(tick {});
    CHECK_EQUAL(1U, all<send_packet>().size());
    give(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 2}, address, 6}, true},
                   packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
}

// A server that starts gives everything back. Its agent must not hand it the same packet again and
// again when no other agent takes the flow either.
TEST(returning, anOpeningPacketThatNobodyTakesIsNotOpenedTwiceAtOneServer)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::offer,
                   {nodeOf("a4"), nodeOf("a5"), nodeOf("a2"), nodeOf("a3")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    answer(returned(opening));
    CHECK(all<deliver_to_server>().empty());
    CHECK_EQUAL(1U, all<reset_caller>().size());
}

TEST(returning, aServerThatGaveAFlowBackGetsNoOtherAtTheSameMoment)
{
    hearOthers();
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    answer(returned(opening));
    const packets::ip_summary other {base::flow_key {base::endpoint {1, 2}, address, 6}, true};
    give(packetFor(other, packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
    now += 150;
    give(packetFor(packets::ip_summary {base::flow_key {base::endpoint {1, 3}, address, 6}, true},
                   packet_stage::toDirector));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

// Every flow that is opened at a dead server waits in vain, so that few may find out.
TEST(returning, aServerThatWasSilentIsTriedByOneFlowAtATime)
{
    hearOthers();
    give(packetFor(directed(true), packet_stage::toDirector));
    now += 200;
    give(tick {});
    now += 1000;
    hearOthers();
    const packets::ip_summary second {base::flow_key {base::endpoint {1, 2}, address, 6}, true};
    give(packetFor(second, packet_stage::toDirector));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    const packets::ip_summary third {base::flow_key {base::endpoint {1, 3}, address, 6}, true};
    give(packetFor(third, packet_stage::toDirector));
    CHECK(all<deliver_to_server>().empty());
    // The server is back.
    answer(packets::ip_summary {second.key});
    const packets::ip_summary fourth {base::flow_key {base::endpoint {1, 4}, address, 6}, true};
    give(packetFor(fourth, packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

TEST(returning, aFlowThatAllOthersDenyIsUnknownForCertain)
{
    const packets::ip_summary data = directed(false, 10);
    give(packetFor(data, packet_stage::toDirector));
    CHECK_EQUAL(2U, said<flow_lookup>().size());
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::unknown);
    const send_packet told = all<send_packet>().front();
    CHECK(told.to == entry);
    CHECK(told.packet.stage == packet_stage::unknown);
    CHECK_FALSE(told.packet.isDoubtful);
}

TEST(returning, aFlowOfAnAgentThatCanNotBeAskedIsNeverGivenUpForCertain)
{
    const packets::ip_summary data = directed(false, 10);
    give(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2"}, lookup_verdict::unknown);
    now += 2500;
    give(tick {});
    CHECK(all<reset_caller>().empty());
    CHECK(all<send_packet>().front().packet.isDoubtful);
}

TEST(returning, serversOlderThanTheirAgentsAreTriedOneAfterTheOther)
{
    const packets::ip_summary data = directed(false, 10);
    give(packetFor(data, packet_stage::toDirector));
    answerLookups(data.key, {"a2", "a3"}, lookup_verdict::mayOwn);
    const send_packet first = all<send_packet>().front();
    CHECK(first.packet.stage == packet_stage::trial);
    CHECK_EQUAL(1U, first.packet.agents.size());
    // At the other end: the server gives it back, and the next one is tried.
    give(packetFor(data, packet_stage::trial, {nodeOf("a3")}));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
    answer(returned(data));
    CHECK(all<send_packet>().front().to == agentNamed("a3", 3).packets);
    // The last one on the list tells the entry.
    give(packetFor(data, packet_stage::trial));
    answer(returned(data));
    CHECK(all<send_packet>().front().packet.stage == packet_stage::unknown);
}

TEST(returning, aRestartedAgentFindsAFlowByTryingItAtItsServer)
{
    const packets::ip_summary data = summaryOf(9, false, 10);
    give(packetFor(data, packet_stage::trial));
    answer(summaryOf(9, false, 200));
    CHECK_EQUAL(1U, all<answer_caller>().size());
    CHECK_EQUAL(1U, said<owner_hint>().size());
    give(packetFor(data, packet_stage::toOwner));
    CHECK_EQUAL(1U, all<deliver_to_server>().size());
}

TEST(returning, aFlowThatItsServerServedAndGivesBackIsOver)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    const packets::ip_summary data = summaryOf(opening.key.caller.port, false, 10);
    give(packetFor(data, packet_stage::toOwner));
    answer(summaryOf(opening.key.caller.port, false, 200));
    // The server has crashed and started again.
    give(packetFor(data, packet_stage::toOwner));
    answer(returned(data));
    CHECK(all<reset_caller>().front().reason == base::error_code::flowUnknown);
}

// Two servers answered copies of one opening packet; the caller chose the other one.
TEST(returning, aFlowThatWasOnlyOfferedHereIsLookedForAndNotReset)
{
    const packets::ip_summary opening = directed(true);
    give(packetFor(opening, packet_stage::toDirector));
    answer(summaryOf(opening.key.caller.port, false));
    const packets::ip_summary data = summaryOf(opening.key.caller.port, false, 10);
    give(packetFor(data, packet_stage::toOwner));
    answer(returned(data));
    CHECK(all<reset_caller>().empty());
    CHECK_EQUAL(2U, said<flow_lookup>().size());
}

TEST(returning, aPacketForAnotherServiceIsTriedAndSentBackToTheEntry)
{
    const packets::ip_summary data = summaryOf(5, false, 10);
    const forwarded_packet foreign {base::serviceIdOf("inspect"),
                                    base::incarnation(1),
                                    base::generation(1),
                                    packet_stage::toOwner,
                                    0,
                                    data,
                                    base::packet_bytes("packet"),
                                    entry};
    give(foreign);
    answer(returned(data));
    const send_packet back = all<send_packet>().front();
    CHECK(back.to == entry);
    CHECK(back.packet.stage == packet_stage::unknown);
    // An opening packet for another service never reaches the server.
    give(forwarded_packet {base::serviceIdOf("inspect"), base::incarnation(1), base::generation(1),
                           packet_stage::toOwner, 0, summaryOf(6, true),
                           base::packet_bytes("packet"), entry});
    CHECK(all<deliver_to_server>().empty());
}

TEST(returning, requestsAtTheServerAreCountedUntilTheirAnswersBegin)
{
    const packets::ip_summary opening = directed(true);
    const std::uint16_t port = opening.key.caller.port;
    give(packetFor(opening, packet_stage::toDirector));
    CHECK_EQUAL(0U, state->busyFlows);
    give(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    give(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    CHECK_EQUAL(1U, state->busyFlows);
    CHECK_EQUAL(1U, state->placement->ownLoad->slots.busy);
    answer(summaryOf(port, false, 500));
    CHECK_EQUAL(0U, state->busyFlows);
    // The first packet once more: its caller has not heard yet that it came.
    give(packetFor(summaryOf(port, false, 100), packet_stage::toOwner));
    CHECK_EQUAL(0U, state->busyFlows);
    const base::flow_key key = opening.key;
    give(packetFor(packets::ip_summary {key, false, false, false, 100, false, false, 100},
                   packet_stage::toOwner));
    CHECK_EQUAL(1U, state->busyFlows);
    answer(returned(summaryOf(port, false, 100)));
    CHECK_EQUAL(0U, state->busyFlows);
}

TEST(returning, beforeTheFirstViewNothingIsRefusedForCertain)
{
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
    std::size_t told = 0;
    const std::uint16_t flows = base::early_packets<forwarded_packet>::maxPackets + 10;
    for (std::uint16_t port = 1; port <= flows; ++port) {
        give(packetFor(summaryOf(port, false, 10), packet_stage::toDirector));
        CHECK(all<reset_caller>().empty());
        // Those for which there is no room to wait.
        for (const send_packet &send : all<send_packet>()) {
            CHECK(send.packet.isDoubtful);
            ++told;
        }
    }
    LONGS_EQUAL(10, told);
    give(packetFor(summaryOf(6, true), packet_stage::toDirector));
    CHECK(all<reset_caller>().empty());
}

// After a restart of every process, a packet of an open flow may come before the first view. Its
// caller repeats it only after more than a second.
TEST(returning, aPacketOfAnOpenFlowWaitsForTheFirstView)
{
    const dissemination::shared_view view = state->view;
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
    serve(true, true);
    const packets::ip_summary summary = summaryOf(77, false, 100);
    give(packetFor(summary, packet_stage::toDirector));
    LONGS_EQUAL(0, all<send_packet>().size());
    now += 300;
    give(view_update {view});
    const std::vector<flow_lookup> asked = said<flow_lookup>();
    const std::vector<send_packet> passed = all<send_packet>();
    CHECK(asked.size() + passed.size() > 0);
    CHECK(state->early.isEmpty());
}

TEST(returning, aPacketThatWaitedTooLongForAViewIsLeftToItsCaller)
{
    const dissemination::shared_view view = state->view;
    const membership::member self = agentNamed("a1", 1);
    state = std::make_unique<flow_state>(
        agent_identity {self.id(), logbook, self.life, self.packets, "zone-1", true});
    serve(true, true);
    give(packetFor(summaryOf(77, false, 100), packet_stage::toDirector));
    now += 5000;
    give(view_update {view});
    LONGS_EQUAL(0, said<flow_lookup>().size());
    LONGS_EQUAL(0, all<send_packet>().size());
}

// Queueing in front of the server instead of in it, so that a request can be put before another.
TEST(returning, requestsBeyondTheSlotsWaitForAnAnswer)
{
    hearOthers();
    std::vector<packets::ip_summary> flows;
    for (std::uint32_t i = 0; i < slots + 4; ++i) {
        const packets::ip_summary opening {
            base::flow_key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address, 6},
            true};
        give(packetFor(opening, packet_stage::offer, {nodeOf("a2"), nodeOf("a3")}));
        flows.push_back(packets::ip_summary {opening.key, false, false, false, 100});
    }
    std::size_t delivered = 0;
    for (const packets::ip_summary &request : flows) {
        give(packetFor(request, packet_stage::toOwner));
        delivered += all<deliver_to_server>().size();
    }
    LONGS_EQUAL(slots + 2, delivered);
    LONGS_EQUAL(2, state->waiting.size());
    // An acknowledgement is no request.
    const packets::ip_summary acknowledgement {flows.back().key};
    give(packetFor(acknowledgement, packet_stage::toOwner));
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    answer(packets::ip_summary {flows.front().key, false, false, false, 500});
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    LONGS_EQUAL(1, state->waiting.size());
    LONGS_EQUAL(slots + 2, state->busyFlows);
}

// Under overload every caller repeats its request before it is answered. Were the copies taken for
// requests, they would hold slots that nothing frees.
TEST(returning, aRepeatedRequestTakesNoSlot)
{
    hearOthers();
    for (std::uint32_t i = 0; i < slots + 3; ++i) {
        const base::flow_key key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address,
                                  6};
        give(packetFor(packets::ip_summary {key, true}, packet_stage::offer,
                       {nodeOf("a2"), nodeOf("a3")}));
        give(packetFor(packets::ip_summary {key, false, false, false, 100}, packet_stage::toOwner));
    }
    const base::flow_key last {base::endpoint {1, slots + 3}, address, 6};
    const packets::ip_summary request {last, false, false, false, 100};
    give(packetFor(request, packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    for (std::uint32_t i = 0; i < slots + 3; ++i) {
        const base::flow_key key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address,
                                  6};
        answer(packets::ip_summary {key, false, false, false, 500});
    }
    LONGS_EQUAL(0, state->busyFlows);
    give(packetFor(request, packet_stage::toOwner));
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    LONGS_EQUAL(0, state->busyFlows);
}

TEST(returning, aCallerThatGivesUpTakesItsRequestOutOfTheQueue)
{
    hearOthers();
    for (std::uint32_t i = 0; i < slots + 3; ++i) {
        const base::flow_key key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address,
                                  6};
        give(packetFor(packets::ip_summary {key, true}, packet_stage::offer,
                       {nodeOf("a2"), nodeOf("a3")}));
        give(packetFor(packets::ip_summary {key, false, false, false, 100}, packet_stage::toOwner));
    }
    LONGS_EQUAL(1, state->waiting.size());
    const base::flow_key last {base::endpoint {1, slots + 3}, address, 6};
    give(packetFor(packets::ip_summary {last, false, true}, packet_stage::toOwner));
    LONGS_EQUAL(0, state->waiting.size());
}

// A slot is not lost to a request that will never be answered.
TEST(returning, aRequestWithoutAnAnswerGivesItsSlotUp)
{
    hearOthers();
    for (std::uint32_t i = 0; i < slots + 3; ++i) {
        const base::flow_key key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address,
                                  6};
        give(packetFor(packets::ip_summary {key, true}, packet_stage::offer,
                       {nodeOf("a2"), nodeOf("a3")}));
        give(packetFor(packets::ip_summary {key, false, false, false, 100}, packet_stage::toOwner));
    }
    now += 1500;
    const base::flow_key last {base::endpoint {1, slots + 3}, address, 6};
    give(packetFor(packets::ip_summary {last, false, false, false, 100}, packet_stage::toOwner));
    LONGS_EQUAL(1, state->waiting.size());
    now += 600;
    give(tick {});
    LONGS_EQUAL(0, state->waiting.size());
    LONGS_EQUAL(1, state->busyFlows);
}

// A packet that is only tried at a server must not wait for one of its slots, nor be lost there.
TEST(returning, aPacketThatTriesAFullServerDoesNotWait)
{
    hearOthers();
    for (std::uint32_t i = 0; i < slots + 2; ++i) {
        const base::flow_key key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address,
                                  6};
        give(packetFor(packets::ip_summary {key, true}, packet_stage::offer,
                       {nodeOf("a2"), nodeOf("a3")}));
        answer(packets::ip_summary {key});
        give(packetFor(packets::ip_summary {key, false, false, false, 100}, packet_stage::toOwner));
    }
    LONGS_EQUAL(slots + 2, state->busyFlows);
    const packets::ip_summary foreign = summaryOf(500, false, 100);
    give(packetFor(foreign, packet_stage::trial, {nodeOf("a2")}));
    LONGS_EQUAL(1, all<deliver_to_server>().size());
    answer(returned(foreign));
    CHECK(all<send_packet>().front().packet.stage == packet_stage::trial);
}

// A flow whose first request waits is as open as any other: it must not be given up after the short
// time that a flow gets whose caller never came back.
TEST(returning, aFlowWhoseFirstRequestWaitsIsOpen)
{
    hearOthers();
    for (std::uint32_t i = 0; i < slots + 3; ++i) {
        const base::flow_key key {base::endpoint {1, static_cast<std::uint16_t>(i + 1)}, address,
                                  6};
        give(packetFor(packets::ip_summary {key, true}, packet_stage::offer,
                       {nodeOf("a2"), nodeOf("a3")}));
        answer(packets::ip_summary {key});
        give(packetFor(packets::ip_summary {key, false, false, false, 100}, packet_stage::toOwner));
    }
    const base::flow_key last {base::endpoint {1, slots + 3}, address, 6};
    CHECK(state->waiting.holds(last));
    const base::flow_key first {base::endpoint {1, 1}, address, 6};
    answer(packets::ip_summary {first, false, false, false, 500});
    CHECK_FALSE(state->waiting.holds(last));
    // Longer than an unanswered flow is kept, and a whole round of the table.
    for (int i = 0; i < 120; ++i) {
        now += 100;
        give(tick {});
    }
    give(peer_message(flow_lookup {logbook, last, routing::target {nodeOf("a2"), {}, {}},
                                   base::generation(1), false}));
    const std::vector<lookup_answer> answers = said<lookup_answer>();
    CHECK_EQUAL(1U, answers.size());
    CHECK(answers.front().verdict == lookup_verdict::owned);
}
