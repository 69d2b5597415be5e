// The packet thread and the liveness thread of an entry, and an agent's answer to a probe, over
// loopback sockets.

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/flows/agent_port.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/routing/codec.h"
#include "lycheeshunt/routing/entry_port.h"
#include "lycheeshunt/routing/liveness_port.h"

#include <poll.h>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;

namespace {

const base::endpoint anyPort {0x7f000001, 0};

base::file_descriptor openSocket()
{
    return base::takeValue(base::openDatagramSocket(anyPort));
}

// An address where no socket is bound any more.
base::endpoint closedAddress()
{
    const base::file_descriptor socket = openSocket();
    return base::localEndpoint(socket);
}

std::string receive(const base::file_descriptor &socket)
{
    pollfd watched {socket.get(), POLLIN, 0};
    ::poll(&watched, 1, -1);
    return packets::receiveDatagram(socket.get()).value_or("");
}

// IPv4 and TCP headers from 10.0.0.1:40000 to port 443 of 192.0.2.x, without payload.
std::string callerPacket(unsigned char lastOctet)
{
    const unsigned char bytes[]
        = {0x45, 0,    0, 40,   0, 0, 0x40, 0, 64, 6, 0, 0, 10,   0, 0, 1, 192, 0, 2, lastOctet,
           0x9c, 0x40, 1, 0xbb, 0, 0, 0,    1, 0,  0, 0, 0, 0x50, 2, 1, 0, 0,   0, 0, 0};
    return std::string(reinterpret_cast<const char *>(bytes), sizeof bytes);
}

dissemination::cluster_view viewOf(const base::endpoint &agent)
{
    const membership::member member {"agent-1",
                                     "z1",
                                     membership::member_role::agent,
                                     base::serviceIdOf("logbook"),
                                     base::incarnation(7),
                                     agent};
    return dissemination::cluster_view {}
        .withTicket(base::generation(1),
                    {base::ticket_number(1),
                     "test",
                     {tickets::service_definition {"logbook", {{{0xc0000201, 443}, 6}}, {}, 64}}})
        .withBatch(base::generation(2), {{member}, {}});
}

} // namespace

TEST_GROUP(ports) {};

TEST(ports, anEntryForwardsRoutablePacketsAndCountsTheOthers)
{
    const base::file_descriptor agent = openSocket();
    const base::file_descriptor fabric = openSocket();
    const std::unique_ptr<entry_port> port
        = base::takeValue(entry_port::open({anyPort}, packets::ipPackets()));
    port->updates().push(std::make_shared<const routing_table>(viewOf(base::localEndpoint(agent))));
    const std::string validPacket = callerPacket(1);
    for (int round = 0; round < 2; ++round) {
        packets::sendDatagram(fabric.get(), port->local(), "");
        packets::sendDatagram(fabric.get(), port->local(), std::string(5000, 'x'));
        packets::sendDatagram(fabric.get(), port->local(), validPacket.substr(0, 30));
        packets::sendDatagram(fabric.get(), port->local(), callerPacket(9));
        packets::sendDatagram(fabric.get(), port->local(), validPacket);
        const base::result<flows::flow_datagram> decoded = flows::decodeDatagram(receive(agent));
        CHECK(base::isOk(decoded));
        const flows::forwarded_packet &packet
            = std::get<flows::forwarded_packet>(base::valueOf(decoded));
        CHECK(packet.service == base::serviceIdOf("logbook"));
        CHECK(packet.incarnation == base::incarnation(7));
        CHECK(packet.at == base::generation(2));
        CHECK(packet.bytes.view() == validPacket);
        // Packets of one sender stay in order, so the invalid ones have been counted by now.
        LONGS_EQUAL(3 * (round + 1), port->malformed());
        LONGS_EQUAL(round + 1, port->unroutable());
        LONGS_EQUAL(0, port->unsent());
    }
}

// After a restart of all processes, packets arrive before control has sent the first routing table.
TEST(ports, aPacketThatArrivesBeforeTheFirstTableIsForwardedOnceThereIsOne)
{
    const base::file_descriptor agent = openSocket();
    const base::file_descriptor fabric = openSocket();
    const std::unique_ptr<entry_port> port
        = base::takeValue(entry_port::open({anyPort}, packets::ipPackets()));
    const std::string validPacket = callerPacket(1);
    packets::sendDatagram(fabric.get(), port->local(), validPacket);
    port->updates().push(std::make_shared<const routing_table>(viewOf(base::localEndpoint(agent))));
    const base::result<flows::flow_datagram> decoded = flows::decodeDatagram(receive(agent));
    CHECK(base::isOk(decoded));
    const flows::forwarded_packet &packet
        = std::get<flows::forwarded_packet>(base::valueOf(decoded));
    CHECK(packet.bytes.view() == validPacket);
    CHECK(packet.at == base::generation(2));
}

// Guards against entries that leave agents to count an upload as any other request.
TEST(ports, anEntryStatesTheClassOfARoute)
{
    const base::file_descriptor agent = openSocket();
    const base::file_descriptor fabric = openSocket();
    const std::unique_ptr<entry_port> port
        = base::takeValue(entry_port::open({anyPort}, packets::ipPackets()));
    const dissemination::cluster_view view = viewOf(base::localEndpoint(agent));
    const tickets::service_address address {{0xc0000201, 443}, 6};
    const tickets::address_route route {
        address, {{base::serviceIdOf("logbook"), 1}}, {}, tickets::request_kind::upload, {}, {}, 2};
    // The first packet is kept until the table comes, the second is routed at once.
    packets::sendDatagram(fabric.get(), port->local(), callerPacket(1));
    port->updates().push(std::make_shared<const routing_table>(dissemination::cluster_view {
        view.at, view.services, view.members, {}, {{address, route}}}));
    for (int i = 0; i < 2; ++i) {
        const base::result<flows::flow_datagram> decoded = flows::decodeDatagram(receive(agent));
        CHECK(base::isOk(decoded));
        CHECK(std::get<flows::forwarded_packet>(base::valueOf(decoded)).requestClass
              == (flows::request_class {tickets::request_kind::upload, 2}));
        packets::sendDatagram(fabric.get(), port->local(), callerPacket(1));
    }
}

TEST(ports, anUnreachableAgentIsBypassed)
{
    const base::file_descriptor reachableSocket = openSocket();
    base::ring<shared_bypass> published(8);
    const std::unique_ptr<liveness_port> port = base::takeValue(liveness_port::open(
        anyPort, [&](const shared_bypass &bypass) { published.tryPush(bypass); }));
    const target dead {base::nodeIdOf("dead"), base::incarnation(1), closedAddress()};
    const target reachable {base::nodeIdOf("other"), base::incarnation(1),
                            base::localEndpoint(reachableSocket)};
    port->agents().push(agents_changed {{{dead, "zone-1"}, {reachable, "zone-2"}}});
    const std::optional<shared_bypass> bypass = published.pop();
    CHECK(bypass.has_value());
    LONGS_EQUAL(1, (*bypass)->size());
    LONGS_EQUAL(1, (*bypass)->count(dead.node));
}

TEST(ports, anAgentAnswersProbesOfItsOwnIncarnation)
{
    const flows::agent_sockets sockets {closedAddress(), closedAddress(), closedAddress(),
                                        closedAddress()};
    base::ring<flows::flow_message> inbox(8);
    const std::unique_ptr<flows::agent_port> port = base::takeValue(
        flows::agent_port::open(sockets, packets::ipPackets(), base::incarnation(7), inbox));
    const base::file_descriptor entry = openSocket();
    for (const std::uint64_t incarnation : {6U, 8U, 7U}) {
        const probe_datagram probe {probe_kind::probe, base::incarnation(incarnation),
                                    incarnation + 100};
        packets::sendDatagram(entry.get(), sockets.packets, encodeProbe(probe));
    }
    const base::result<probe_datagram> echo = decodeProbe(receive(entry));
    CHECK(base::valueOf(echo) == (probe_datagram {probe_kind::echo, base::incarnation(7), 107}));
    LONGS_EQUAL(2, port->malformed());
}
