// Every decoder of datagrams, under seeded random and mutated bytes: each input gives a value or a
// numbered error, and no byte outside the input is read.

#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_batch.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/codec.h"

#include <memory>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr int rounds = 40'000;
constexpr std::size_t maxRandomBytes = 200;

using random_source = std::mt19937_64;

// IPv4 and TCP headers with four bytes of payload.
std::string tcpPacket()
{
    const unsigned char bytes[]
        = {0x45, 0,   0,    44,   0, 0,    0x40, 0, 64,   6, 0,   0,   10,  0,  0,
           1,    192, 0,    2,    1, 0x9c, 0x40, 1, 0xbb, 0, 0,   0,   1,   0,  0,
           0,    1,   0x50, 0x10, 1, 0,    0,    0, 0,    0, 'd', 'a', 't', 'a'};
    return std::string(reinterpret_cast<const char *>(bytes), sizeof bytes);
}

std::string udpPacket()
{
    std::string bytes = tcpPacket();
    bytes[9] = 17;
    return bytes;
}

std::string forwardedPacket()
{
    const std::string bytes = tcpPacket();
    const base::result<packets::ip_summary> summary
        = packets::summarize(bytes, packets::direction::fromCaller);
    return flows::encodePacket(flows::forwarded_packet {
        base::serviceIdOf("logbook"), base::incarnation(7), base::generation(9),
        flows::packet_stage::toDirector, 0, base::valueOf(summary), base::packet_bytes(bytes)});
}

std::string announcedMember()
{
    return membership::encodeMember(membership::member {
        "agent-1", "leith-1", membership::member_role::agent, base::serviceIdOf("logbook"),
        base::incarnation(7), base::endpoint {0x7f000001, 7000}});
}

std::string randomBytes(random_source &random)
{
    std::string bytes(random() % (maxRandomBytes + 1), '\0');
    for (char &each : bytes)
        each = static_cast<char>(random());
    return bytes;
}

std::string mutated(std::string bytes, random_source &random)
{
    const std::uint64_t changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.resize(at);
            break;
        case 2:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        default:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << random() % 8));
            break;
        }
    }
    return bytes;
}

template <typename value_type>
bool isNumbered(const base::result<value_type> &outcome)
{
    const base::error *failure = base::errorOf(outcome);
    return failure == nullptr || base::describe(failure->code) != "unknown code";
}

// The bytes are copied to a heap block of their own, so that the address sanitizer detects any read
// beyond them.
void decodeAll(const std::string &input)
{
    const std::unique_ptr<char[]> copy(new char[input.size()]);
    std::copy(input.begin(), input.end(), copy.get());
    const std::string_view bytes(copy.get(), input.size());
    for (const packets::direction packetDirection :
         {packets::direction::fromCaller, packets::direction::toCaller}) {
        const base::result<packets::ip_summary> summary
            = packets::summarize(bytes, packetDirection);
        CHECK(isNumbered(summary));
        if (base::isOk(summary))
            CHECK(base::valueOf(summary).payloadBytes < bytes.size());
    }
    const std::string reset = packets::resetFor(bytes);
    const bool answersWithReset
        = reset.empty() || base::isOk(packets::summarize(reset, packets::direction::toCaller));
    CHECK(answersWithReset);
    CHECK(isNumbered(flows::decodeDatagram(bytes)));
    CHECK(isNumbered(membership::decodeFrame(bytes)));
    CHECK(isNumbered(membership::decodeBatch(bytes)));
    CHECK(isNumbered(routing::decodeProbe(bytes)));
    routing::echoOf(bytes, base::incarnation(7));
}

} // namespace

TEST_GROUP(hostile_input) {};

TEST(hostile_input, randomBytes)
{
    random_source random(1);
    for (int i = 0; i < rounds; ++i)
        decodeAll(randomBytes(random));
}

TEST(hostile_input, mutatedMessages)
{
    random_source random(2);
    const std::string samples[]
        = {tcpPacket(),
           udpPacket(),
           forwardedPacket(),
           announcedMember(),
           membership::encodeLeave({base::nodeIdOf("a"), base::incarnation(3)}),
           routing::encodeProbe({routing::probe_kind::probe, base::incarnation(7), 5})};
    for (const std::string &sample : samples)
        decodeAll(sample);
    for (int i = 0; i < rounds; ++i)
        decodeAll(mutated(samples[random() % std::size(samples)], random));
}

TEST(hostile_input, everyTruncationAndLongerForms)
{
    for (const std::string &sample : {tcpPacket(), forwardedPacket(), announcedMember()}) {
        for (std::size_t length = 0; length <= sample.size(); ++length)
            decodeAll(sample.substr(0, length));
        decodeAll(sample + "x");
        CHECK_FALSE(base::isOk(packets::summarize(sample.substr(0, sample.size() - 1),
                                                  packets::direction::fromCaller)));
    }
    CHECK(base::isOk(packets::summarize(tcpPacket(), packets::direction::fromCaller)));
}

// The packet library throws on options whose length exceeds the header, so resetFor() must not
// parse them with it.
TEST(hostile_input, aPacketWithMalformedOptionsStillGetsAReset)
{
    std::string packet = tcpPacket();
    packet[32] = 0x60;
    packet[40] = 8;
    packet[41] = 60;
    const std::string reset = packets::resetFor(packet);
    const base::result<packets::ip_summary> read
        = packets::summarize(reset, packets::direction::toCaller);
    CHECK(base::isOk(read));
    CHECK(base::valueOf(read).resets);
    const base::flow_key key {{0x0a000001, 40000}, {0xc0000201, 443}, 6};
    CHECK(base::valueOf(read).key == key);
}
