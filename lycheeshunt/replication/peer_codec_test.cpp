#include "lycheeshunt/replication/peer_codec.h"

#include "lycheeshunt/replication/peer_envelope.h"

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::replication;

namespace {

const replica_id sender {base::node_id(1), storage_id(2)};
const replica_id receiver {base::node_id(3), storage_id(4)};

} // namespace

TEST_GROUP(peer_codec) {};

TEST(peer_codec, everyMessageSurvivesEncodingAndDecoding)
{
    const log_entry entry {base::generation(8), 2, entry_kind::ticket,
                           base::clock_time::ofMillis(5), "payload"};
    const configuration members {{{"control-1", storage_id(9), true}}};
    const peer_message messages[] = {
        vote_request {3, true, base::generation(7), 2},
        vote_answer {3, 4, true, true},
        append_request {3, 11, base::generation(7), 2, base::generation(6), {entry}},
        append_answer {3, 11, true, base::generation(8)},
        snapshot_piece {3, 12, base::generation(7), 2, members, 100, 50, std::string(50, 'x')},
        snapshot_answer {3, 12, base::generation(7), 50},
        presence {true, base::endpoint {0x7f000001, 7480}},
        forwarded_proposal {
            proposal {entry_kind::membership, "batch", 0, base::clock_time::ofMillis(9)}},
    };
    LONGS_EQUAL(std::variant_size_v<peer_message>, std::size(messages));
    for (const peer_message &message : messages) {
        const peer_envelope envelope {sender, receiver, message};
        const base::result<peer_envelope> decoded = decodeEnvelope(encodeEnvelope(envelope));
        CHECK(base::isOk(decoded));
        CHECK(base::valueOf(decoded) == envelope);
    }
}

TEST(peer_codec, truncatedBytesAreRefusedAtEveryLength)
{
    const std::string encoded
        = encodeEnvelope(peer_envelope {sender, receiver, vote_answer {3, 4, true, true}});
    for (std::size_t length = 0; length < encoded.size(); ++length)
        CHECK(!base::isOk(decodeEnvelope(std::string_view(encoded).substr(0, length))));
}

TEST(peer_codec, sizeAndVersionAreCheckedFirst)
{
    const base::result<peer_envelope> large = decodeEnvelope(std::string(3 * 1024 * 1024, 'x'));
    CHECK(base::errorOf(large)->code == base::error_code::messageTooLarge);
    std::string laterVersion
        = encodeEnvelope(peer_envelope {sender, receiver, vote_answer {3, 4, true, true}});
    // Byte 0 is the header of an array of seven elements; the first element is the version.
    laterVersion.at(1) = 2;
    const base::result<peer_envelope> refused = decodeEnvelope(laterVersion);
    CHECK(base::errorOf(refused)->code == base::error_code::messageVersion);
}

TEST(peer_codec, entriesOutOfOrderAreRefused)
{
    const log_entry entry {base::generation(9), 2, entry_kind::ticket, {}, "payload"};
    const peer_envelope envelope {
        sender, receiver,
        append_request {3, 11, base::generation(7), 2, base::generation(6), {entry}}};
    const base::result<peer_envelope> decoded = decodeEnvelope(encodeEnvelope(envelope));
    CHECK(base::errorOf(decoded)->code == base::error_code::messageMalformed);
}
