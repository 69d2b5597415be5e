// Second copies of opening packets, through the packet thread of an entry over loopback sockets.

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/entry_port.h"

#include <poll.h>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::routing;
using tickets::request_kind;

namespace {

const base::endpoint anyPort {0x7f000001, 0};
const base::service_id logbook = base::serviceIdOf("logbook");
// An opening packet from 10.0.0.1:40000 to port 443 of 192.0.2.1.
const std::string openingPacket("\x45\0\0\x28\0\0\x40\0\x40\x06\0\0\x0a\0\0\x01\xc0\0\x02\x01"
                                "\x9c\x40\x01\xbb\0\0\0\x01\0\0\0\0\x50\x02\x01\0\0\0\0\0",
                                40);

shared_table tableOf(const request_traits &traits, const std::vector<base::endpoint> &agents)
{
    std::map<base::node_id, membership::member> members;
    for (const base::endpoint &agent : agents) {
        const membership::member member {"agent-" + std::to_string(agent.port),
                                         "z1",
                                         membership::member_role::agent,
                                         logbook,
                                         base::incarnation(7),
                                         agent};
        members.emplace(member.id(), member);
    }
    const tickets::service_address address {base::endpoint {0xc0000201, 443}, 6};
    return std::make_shared<const routing_table>(dissemination::cluster_view {
        base::generation(1),
        {{logbook, tickets::service_definition {"logbook", {}, {}, 64}}},
        members,
        {},
        {{address,
          tickets::address_route {
              address, {{logbook, 1}}, {}, traits.kind, {}, traits.targetLatency}}}});
}

// What the agents receive of one opening packet until it is too late for another copy.
std::vector<flows::forwarded_packet> copiesOnce(const request_traits &traits, std::uint32_t percent,
                                                bool isAnswered)
{
    constexpr int waitMillis = 250;
    const base::file_descriptor agents[] = {base::takeValue(base::openDatagramSocket(anyPort)),
                                            base::takeValue(base::openDatagramSocket(anyPort))};
    const std::unique_ptr<entry_port> port = base::takeValue(entry_port::open(
        {anyPort, anyPort, {}, {}, hedging_limit {percent}}, packets::ipPackets()));
    port->updates().push(
        tableOf(traits, {base::localEndpoint(agents[0]), base::localEndpoint(agents[1])}));
    packets::sendDatagram(agents[0].get(), port->local(), openingPacket);
    std::vector<flows::forwarded_packet> received;
    pollfd watched[] = {{agents[0].get(), POLLIN, 0}, {agents[1].get(), POLLIN, 0}};
    while (::poll(watched, std::size(watched), waitMillis) > 0) {
        const std::size_t index = watched[0].revents != 0 ? 0 : 1;
        const std::optional<std::string> bytes = packets::receiveDatagram(agents[index].get());
        received.push_back(std::get<flows::forwarded_packet>(
            base::valueOf(flows::decodeDatagram(*bytes, packets::ipPackets()))));
        const flows::opening_hint hint {logbook, received.back().summary.key, target {}};
        if (isAnswered)
            packets::sendDatagram(agents[index].get(), received.back().entry,
                                  flows::encodePeer(hint));
    }
    LONGS_EQUAL(received.size() - 1, port->hedged());
    return received;
}

// On a busy machine a thread may not run for longer than the hedge delay, and the number of copies
// correctly differs then. The opening is repeated in that case.
std::vector<flows::forwarded_packet> copiesSent(request_kind kind, std::uint32_t percent,
                                                bool isAnswered, std::size_t expected)
{
    constexpr int maxAttempts = 4;
    // A copy is due after a quarter of this, and no longer sent after 200 ms.
    const base::clock_time latency = base::clock_time::ofMillis(isAnswered ? 600 : 200);
    const request_traits traits {kind, 0, latency};
    for (int attempt = 1;; ++attempt) {
        std::vector<flows::forwarded_packet> sent = copiesOnce(traits, percent, isAnswered);
        if (sent.size() == expected || attempt == maxAttempts)
            return sent;
    }
}

} // namespace

TEST_GROUP(hedging_port) {};

TEST(hedging_port, anUnansweredOpeningPacketIsSentToTheBackupUnchangedAndInDoubt)
{
    const std::vector<flows::forwarded_packet> sent
        = copiesSent(request_kind::idempotent, 100, false, 2);
    LONGS_EQUAL(2, sent.size());
    CHECK(sent[0].bytes.view() == openingPacket);
    CHECK(sent[1] == sent[0].with(flows::packet_stage::toDirector, {}, true));
}

// Guards against copies that the settings do not permit.
TEST(hedging_port, noCopyIsSentWhenItIsOffOrAnsweredOrMustNotRunTwice)
{
    LONGS_EQUAL(1, copiesSent(request_kind::idempotent, 0, false, 1).size());
    LONGS_EQUAL(1, copiesSent(request_kind::idempotent, 100, true, 1).size());
    LONGS_EQUAL(1, copiesSent(request_kind::nonIdempotent, 100, false, 1).size());
    LONGS_EQUAL(1, copiesSent(request_kind::upload, 100, false, 1).size());
}
