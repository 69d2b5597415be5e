// The class of requests in the header of forwarded packets: its encoding, and that it stays with a
// packet on its way over several agents.

#include "lycheeshunt/flows/agent_fixture_test.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/flows/packet_header.h"
#include "lycheeshunt/packets/packet_codec.h"

#include <fstream>
#include <iterator>
#include <random>

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using namespace lycheeshunt::flows::testing;

namespace {

constexpr request_class upload {tickets::request_kind::upload, 2};

const base::flow_key key {base::endpoint {0x0a000001, 4000}, base::endpoint {0xc0000201, 443}, 6};

// Takes any bytes as a packet of the flow.
const packets::packet_codec acceptingCodec {
    [](std::string_view, packets::direction) {
        return base::result<packets::ip_summary>(packets::ip_summary {key});
    },
    [](std::string_view) { return std::string(); }, [](std::string bytes) { return bytes; },
    [](const base::flow_key &, const base::endpoint &fabric) { return fabric; }};

forwarded_packet packetWith(const request_class &requestClass)
{
    return forwarded_packet {base::service_id(7),
                             base::incarnation(12),
                             base::generation(3),
                             packet_stage::toDirector,
                             0,
                             packets::ip_summary {key},
                             base::packet_bytes("text"),
                             base::endpoint {0x7f000001, 9},
                             {base::node_id(11)},
                             false,
                             requestClass};
}

// The corpus was recorded before headers had classes.
std::string recordedPacket()
{
    std::ifstream file(LYCHEESHUNT_SOURCE_DIR "/tools/fuzz/corpus/flow_datagram/packet",
                       std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

TEST_GROUP_BASE(request_class, agent_fixture) {};

// Guards against VMs of two builds that can't read each other where no route needs a class.
TEST(request_class, aHeaderWithoutClassHasTheBytesOfEarlierBuilds)
{
    const std::string before = std::string("\x9c\x01\x01\x07\x0c\x03\x01\x00", 8)
        + std::string("\xce\x7f\x00\x00\x01\x09\x91\x0b\xc2\xc4\x04", 11) + "text";
    CHECK(encodePacket(packetWith({})) == before);
    const std::string recorded = recordedPacket();
    CHECK(!recorded.empty());
    const base::result<flow_datagram> decoded = decodeDatagram(recorded);
    CHECK(base::isOk(decoded));
    const forwarded_packet &packet = std::get<forwarded_packet>(base::valueOf(decoded));
    CHECK(packet.requestClass == request_class {});
    CHECK(encodePacket(packet) == recorded);
}

TEST(request_class, everyClassDecodesToItself)
{
    for (const tickets::request_kind kind :
         {tickets::request_kind::idempotent, tickets::request_kind::nonIdempotent,
          tickets::request_kind::upload}) {
        for (const std::uint8_t priority : {0, 1, 255}) {
            const forwarded_packet packet = packetWith({kind, priority});
            const base::result<flow_datagram> decoded
                = decodeDatagram(encodePacket(packet), acceptingCodec);
            CHECK(base::isOk(decoded));
            CHECK(std::get<forwarded_packet>(base::valueOf(decoded)) == packet);
        }
    }
}

TEST(request_class, anUnknownKindAndCorruptedHeadersAreRefusedByCode)
{
    const std::string valid = encodePacket(packetWith(upload));
    std::string unknownKind = valid;
    // The class is encoded as 0xcd, kind, priority.
    unknownKind[valid.find("\xcd\x03\x02") + 1] = 4;
    CHECK(base::errorOf(decodeDatagram(unknownKind, acceptingCodec))->code
          == base::error_code::messageMalformed);
    for (std::size_t length = 0; length < valid.size(); ++length)
        CHECK_FALSE(base::isOk(decodeDatagram(valid.substr(0, length), acceptingCodec)));
    std::mt19937_64 random(5);
    for (int i = 0; i < 5000; ++i) {
        std::string bytes = valid;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        const base::result<flow_datagram> decoded = decodeDatagram(bytes, acceptingCodec);
        CHECK(base::isOk(decoded) || base::errorOf(decoded)->code != base::error_code());
    }
}

TEST(request_class, theLongestHeaderFitsItsBuffer)
{
    const std::uint64_t large = ~std::uint64_t {0};
    const packet_header header {base::service_id(large),
                                base::incarnation(large),
                                base::generation(large),
                                packet_stage::unknown,
                                255,
                                base::endpoint {0xffffffff, 0xffff},
                                std::vector<base::node_id>(maxListedAgents, base::node_id(large)),
                                true,
                                request_class {tickets::request_kind::upload, 255}};
    char buffer[maxPacketHeaderBytes];
    CHECK(writePacketHeader(header, 0xffff, buffer) <= maxPacketHeaderBytes);
}

// Guards against uploads that count as other requests because their packets reached the owner by
// another agent.
TEST(request_class, anOfferToAnotherAgentKeepsTheClass)
{
    receivePeerReports();
    setServer(false);
    const packets::ip_summary opening = summaryForOwnBucket(true);
    apply(packetFor(opening, packet_stage::toDirector, {}, 0, upload));
    const send_packet offer = actionsOf<send_packet>().front();
    CHECK(offer.packet.stage == packet_stage::offer);
    CHECK(offer.packet.requestClass == upload);
}

TEST(request_class, aPacketThatItsServerReturnsKeepsTheClass)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::toOwner, {}, 0, upload));
    receiveFromServer(returnedSummary(data));
    LONGS_EQUAL(1, state->lookups.size());
    answerLookups(data.key, {"a2"}, lookup_verdict::owned);
    const send_packet sent = actionsOf<send_packet>().front();
    CHECK(sent.packet.stage == packet_stage::toOwner);
    CHECK(sent.packet.requestClass == upload);
}

TEST(request_class, aTrialAtAnotherServerKeepsTheClass)
{
    const packets::ip_summary data = summaryForOwnBucket(false, 10);
    apply(packetFor(data, packet_stage::trial, {nodeOf("a2")}, 1, upload));
    receiveFromServer(returnedSummary(data));
    const send_packet sent = actionsOf<send_packet>().front();
    CHECK(sent.packet.stage == packet_stage::trial);
    CHECK(sent.packet.requestClass == upload);
}
