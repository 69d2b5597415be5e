#include "lycheeshunt/flows/codec.h"

#include "lycheeshunt/packets/ip_packet.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;

namespace {

const base::service_id service(7);
const base::flow_key key {base::endpoint {0x0a000001, 4000}, base::endpoint {0xc0000201, 443}, 6};
const routing::target agent {base::node_id(11), base::incarnation(12),
                             base::endpoint {0x7f000001, 9}};

std::vector<peer_message> everyMessage()
{
    return {
        registration_batch {service, agent, base::generation(3), 4, {{key, true}, {key, false}}},
        registration_ack {service, agent.node, base::generation(3), agent.incarnation, 4},
        flow_lookup {service, key, agent, base::generation(5), true},
        lookup_answer {service, key, agent, base::generation(5), lookup_verdict::owned, agent},
        recovery_request {service, agent, key},
        recovery_page {service, agent.node, agent.incarnation, {key, key}, true}};
}

// Takes any bytes as a packet of the flow.
const packets::packet_codec acceptingCodec {
    [](std::string_view, packets::direction) {
        return base::result<packets::ip_summary>(packets::ip_summary {key});
    },
    [](std::string_view) { return std::string(); }, [](std::string bytes) { return bytes; },
    [](const base::flow_key &, const base::endpoint &fabric) { return fabric; }};

base::error_code codeOf(const base::result<flow_datagram> &decoded)
{
    const base::error *failure = base::errorOf(decoded);
    CHECK(failure != nullptr);
    return failure->code;
}

} // namespace

TEST_GROUP(flow_codec) {};

TEST(flow_codec, everyMessageDecodesToItself)
{
    for (const peer_message &message : everyMessage()) {
        const base::result<flow_datagram> decoded = decodeDatagram(encodePeer(message));
        CHECK(base::isOk(decoded));
        CHECK(std::get<peer_message>(base::valueOf(decoded)) == message);
    }
}

TEST(flow_codec, truncatedMessagesAndTrailingBytesAreMalformed)
{
    for (const peer_message &message : everyMessage()) {
        const std::string bytes = encodePeer(message);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK(codeOf(decodeDatagram(bytes.substr(0, length)))
                  == base::error_code::messageMalformed);
        CHECK(codeOf(decodeDatagram(bytes + "x")) == base::error_code::messageMalformed);
    }
}

TEST(flow_codec, aBatchWithTooManyFlowsIsTooLarge)
{
    const registration_batch batch {service, agent, base::generation(3), 4,
                                    std::vector<registered_flow>(1000, registered_flow {key})};
    CHECK(codeOf(decodeDatagram(encodePeer(batch))) == base::error_code::messageTooLarge);
}

// Guards against resets of open flows after a packet whose list of agents was cut.
TEST(flow_codec, aPacketWhoseListOfAgentsIsCutIsDoubtful)
{
    for (const std::size_t count : {maxListedAgents, maxListedAgents + 1}) {
        const forwarded_packet packet {service,
                                       agent.incarnation,
                                       base::generation(3),
                                       packet_stage::trial,
                                       0,
                                       packets::ip_summary {key},
                                       base::packet_bytes("text"),
                                       agent.packets,
                                       std::vector<base::node_id>(count, agent.node)};
        const base::result<flow_datagram> decoded
            = decodeDatagram(encodePacket(packet), acceptingCodec);
        CHECK(base::isOk(decoded));
        const forwarded_packet &received = std::get<forwarded_packet>(base::valueOf(decoded));
        LONGS_EQUAL(maxListedAgents, received.agents.size());
        CHECK(received.isDoubtful == (count > maxListedAgents));
    }
}

TEST(flow_codec, anUnknownVersionHasItsOwnErrorCode)
{
    std::string bytes = encodePeer(everyMessage().front());
    bytes[1] = 9;
    CHECK(codeOf(decodeDatagram(bytes)) == base::error_code::messageVersion);
}

TEST(flow_codec, corruptedMessagesDecodeOrFailWithAnErrorCode)
{
    std::mt19937_64 random(5);
    for (const peer_message &message : everyMessage()) {
        for (int i = 0; i < 2000; ++i) {
            std::string bytes = encodePeer(message);
            bytes[random() % bytes.size()] = static_cast<char>(random());
            const base::result<flow_datagram> decoded = decodeDatagram(bytes);
            CHECK(base::isOk(decoded) || base::errorOf(decoded)->code != base::error_code());
        }
    }
}
