// Drives routing and flow decisions as another front end would: values in, values out, without a
// socket or a thread, with the time passed in.

#include "lycheeshunt/flows/decision.h"

#include "lycheeshunt/routing/routing_table.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

const base::endpoint logbookAddress {0xc0000201, 443};
const base::clock_time now = base::clock_time::ofSeconds(100);

membership::member agentNamed(const std::string &name, std::uint16_t port)
{
    return membership::member {name,
                               "zone-1",
                               membership::member_role::agent,
                               base::serviceIdOf("logbook"),
                               base::incarnation(1),
                               base::endpoint {0x7f000001, port},
                               membership::member_phase::serving};
}

dissemination::shared_view viewOf(std::uint64_t generation,
                                  const std::vector<membership::member> &members,
                                  const std::vector<std::string> &draining = {})
{
    std::vector<tickets::ticket_change> changes {
        tickets::service_definition {"logbook", {{logbookAddress, 6}}, {}, 64}};
    for (const std::string &node : draining)
        changes.emplace_back(tickets::drain_order {node, true});
    const dissemination::cluster_view view
        = dissemination::cluster_view {}
              .withBatch(base::generation(generation), {members, {}})
              .withTicket(base::generation(generation), {base::ticket_number(1), "test", changes});
    return std::make_shared<const dissemination::cluster_view>(view);
}

// A few agents, joined by function calls in place of a network.
class agents
{
public:
    explicit agents(const std::vector<membership::member> &members)
    {
        for (const membership::member &member : members) {
            const agent_identity identity {member.id(), member.service, member.life};
            m_states.emplace(member.packets, flow_state(identity));
        }
    }

    void show(const dissemination::shared_view &view)
    {
        m_view = view;
        for (auto it = m_states.begin(); it != m_states.end(); ++it)
            pass(it->first, view_update {view});
    }

    // Sends a packet in through an entry that has the newest view. Returns the agent whose
    // backend server got it; port 0 for none.
    std::uint16_t send(std::uint16_t callerPort, bool opens)
    {
        const base::flow_key key {base::endpoint {0x0a000001, callerPort}, logbookAddress, 6};
        const routing::routing_outcome outcome = routing::routing_table(*m_view).routeOf(key);
        const routing::route &way = std::get<routing::route>(outcome);
        const packets::ip_summary summary {key, opens, false, false, 0};
        m_deliveredAt = 0;
        pass(way.to.packets,
             forwarded_packet {way.service, way.to.life, way.at, packet_stage::toDirector, 0,
                               summary, base::packet_bytes("packet")});
        return m_deliveredAt;
    }

    std::size_t resets() const { return m_resets; }

private:
    void pass(const base::endpoint &to, const flow_message &message)
    {
        const auto found = m_states.find(to);
        base::step<flow_state, flow_action> next = decide(std::move(found->second), message, now);
        found->second = std::move(next.state);
        for (const flow_action &action : next.actions) {
            if (const send_packet *send = std::get_if<send_packet>(&action))
                pass(send->to, send->packet);
            else if (const send_registration *told = std::get_if<send_registration>(&action))
                pass(told->to, told->registration);
            else if (std::holds_alternative<deliver_to_server>(action))
                m_deliveredAt = to.port;
            else if (std::holds_alternative<reset_caller>(action))
                ++m_resets;
        }
    }

    dissemination::shared_view m_view;
    std::map<base::endpoint, flow_state> m_states;
    std::uint16_t m_deliveredAt = 0;
    std::size_t m_resets = 0;
};

} // namespace

TEST_GROUP(flow_decision) {};

TEST(flow_decision, aFlowStaysWithItsOwnerWhileItsServerDrains)
{
    const std::vector<membership::member> members
        = {agentNamed("a", 1), agentNamed("b", 2), agentNamed("c", 3)};
    agents all(members);
    all.show(viewOf(1, members));
    constexpr std::uint16_t flows = 100;
    std::map<std::uint16_t, std::uint16_t> owners;
    for (std::uint16_t caller = 1; caller <= flows; ++caller)
        owners[caller] = all.send(caller, true);
    all.show(viewOf(2, members, {"b"}));
    for (std::uint16_t caller = 1; caller <= flows; ++caller)
        LONGS_EQUAL(owners[caller], all.send(caller, false));
    for (std::uint16_t caller = flows + 1; caller <= 2 * flows; ++caller)
        CHECK(all.send(caller, true) != 2);
    LONGS_EQUAL(0, all.resets());
}

TEST(flow_decision, aPacketOfAnUnknownFlowIsReset)
{
    const std::vector<membership::member> members = {agentNamed("a", 1), agentNamed("b", 2)};
    agents all(members);
    all.show(viewOf(1, members));
    LONGS_EQUAL(0, all.send(7, false));
    LONGS_EQUAL(1, all.resets());
}
