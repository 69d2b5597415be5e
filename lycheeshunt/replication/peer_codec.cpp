#include "lycheeshunt/replication/peer_codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/base/endpoint_fields.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/peer_envelope.h"

#include <tuple>

namespace lycheeshunt::replication {

namespace {

constexpr std::uint8_t wireVersion = 1;
constexpr std::size_t maxEnvelopeBytes = 2 * 1024 * 1024;

using number = std::uint64_t;
using envelope_fields
    = std::tuple<std::uint8_t, number, number, number, number, std::uint8_t, std::string>;
using vote_request_fields = std::tuple<number, bool, number, number>;
using vote_answer_fields = std::tuple<number, number, bool, bool>;
using append_request_fields = std::tuple<number, number, number, number, number, std::string>;
using append_answer_fields = std::tuple<number, number, bool, number>;
using snapshot_piece_fields
    = std::tuple<number, number, number, number, std::string, number, number, std::string>;
using snapshot_answer_fields = std::tuple<number, number, number, number>;
using address_fields = base::endpoint_fields;
using presence_fields
    = std::tuple<bool, address_fields, std::string, address_fields, std::vector<address_fields>>;
constexpr std::size_t maxContacts = 64;
using forwarded_fields = std::tuple<std::uint8_t, std::string, std::int64_t>;

std::string encodeBody(const peer_message &message)
{
    return std::visit(
        base::overloaded {
            [](const vote_request &m) {
                return base::packFields(
                    vote_request_fields(m.term, m.isPreVote, m.lastIndex.value(), m.lastTerm));
            },
            [](const vote_answer &m) {
                return base::packFields(
                    vote_answer_fields(m.term, m.requestTerm, m.isPreVote, m.isGranted));
            },
            [](const append_request &m) {
                return base::packFields(append_request_fields(
                    m.term, m.heartbeatRound, m.previousIndex.value(), m.previousTerm,
                    m.commit.value(), encodeEntries(m.entries)));
            },
            [](const append_answer &m) {
                return base::packFields(
                    append_answer_fields(m.term, m.heartbeatRound, m.isMatch, m.index.value()));
            },
            [](const snapshot_piece &m) {
                return base::packFields(snapshot_piece_fields(
                    m.term, m.heartbeatRound, m.index.value(), m.snapshotTerm,
                    encodeConfiguration(m.configuration), m.totalBytes, m.offset, m.bytes));
            },
            [](const snapshot_answer &m) {
                return base::packFields(snapshot_answer_fields(m.term, m.heartbeatRound,
                                                               m.index.value(), m.nextOffset));
            },
            [](const presence &m) {
                std::vector<address_fields> contacts;
                for (const base::endpoint &contact : m.contacts)
                    contacts.push_back(base::fieldsOf(contact));
                return base::packFields(presence_fields(m.isFormed, base::fieldsOf(m.api), m.name,
                                                        base::fieldsOf(m.streams), contacts));
            },
            [](const forwarded_proposal &m) {
                return base::packFields(forwarded_fields(static_cast<std::uint8_t>(m.proposal.kind),
                                                         m.proposal.payload,
                                                         m.proposal.proposedAt.millis()));
            },
        },
        message);
}

// Unpacks the fields and builds the message from them.
template <typename fields_type, typename builder>
base::result<peer_message> decodeAs(std::string_view body, builder build)
{
    const base::result<fields_type> fields = base::unpackFields<fields_type>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return std::apply(build, base::valueOf(fields));
}

base::result<peer_message> buildAppend(number term, number heartbeatRound, number previous,
                                       number previousTerm, number commit, const std::string &bytes)
{
    const base::result<std::vector<log_entry>> entries = decodeEntries(bytes);
    if (const base::error *failure = base::errorOf(entries))
        return *failure;
    number expected = previous;
    for (const log_entry &entry : base::valueOf(entries)) {
        if (entry.index.value() != ++expected)
            return base::error {base::error_code::messageMalformed,
                                "entry indexes are not consecutive"};
    }
    return peer_message(append_request {term, heartbeatRound, base::generation(previous),
                                        previousTerm, base::generation(commit),
                                        base::valueOf(entries)});
}

base::result<peer_message> buildPiece(number term, number heartbeatRound, number index,
                                      number snapshotTerm, const std::string &members, number total,
                                      number offset, const std::string &bytes)
{
    const base::result<configuration> decodedMembers = decodeConfiguration(members);
    if (const base::error *failure = base::errorOf(decodedMembers))
        return *failure;
    return peer_message(snapshot_piece {term, heartbeatRound, base::generation(index), snapshotTerm,
                                        base::valueOf(decodedMembers), total, offset, bytes});
}

base::result<peer_message> buildForwarded(std::uint8_t kind, const std::string &payload,
                                          std::int64_t proposedAt)
{
    if (kind != static_cast<std::uint8_t>(entry_kind::membership))
        return base::error {base::error_code::messageMalformed,
                            "this kind of entry cannot be forwarded"};
    return peer_message(forwarded_proposal {
        proposal {entry_kind::membership, payload, 0, base::clock_time::ofMillis(proposedAt)}});
}

base::result<peer_message> buildPresence(bool isFormed, const address_fields &api,
                                         const std::string &name, const address_fields &streams,
                                         const std::vector<address_fields> &contactFields)
{
    if (contactFields.size() > maxContacts)
        return base::error {base::error_code::messageTooLarge,
                            "presence of a control VM names too many contacts"};
    std::vector<base::endpoint> contacts;
    contacts.reserve(contactFields.size());
    for (const address_fields &contact : contactFields)
        contacts.push_back(base::endpointOf(contact));
    return peer_message(presence {isFormed, base::endpointOf(api), name, base::endpointOf(streams),
                                  std::move(contacts)});
}

using body_decoder = base::result<peer_message> (*)(std::string_view);

// Indexed by the alternatives of peer_message.
constexpr body_decoder decoders[] = {
    [](std::string_view body) {
        return decodeAs<vote_request_fields>(
            body, [](number term, bool isPreVote, number index, number lastTerm) {
                return base::result<peer_message>(
                    vote_request {term, isPreVote, base::generation(index), lastTerm});
            });
    },
    [](std::string_view body) {
        return decodeAs<vote_answer_fields>(
            body, [](number term, number requestTerm, bool isPreVote, bool isGranted) {
                return base::result<peer_message>(
                    vote_answer {term, requestTerm, isPreVote, isGranted});
            });
    },
    [](std::string_view body) { return decodeAs<append_request_fields>(body, buildAppend); },
    [](std::string_view body) {
        return decodeAs<append_answer_fields>(
            body, [](number term, number heartbeatRound, bool isMatch, number index) {
                return base::result<peer_message>(
                    append_answer {term, heartbeatRound, isMatch, base::generation(index)});
            });
    },
    [](std::string_view body) { return decodeAs<snapshot_piece_fields>(body, buildPiece); },
    [](std::string_view body) {
        return decodeAs<snapshot_answer_fields>(
            body, [](number term, number heartbeatRound, number index, number nextOffset) {
                return base::result<peer_message>(
                    snapshot_answer {term, heartbeatRound, base::generation(index), nextOffset});
            });
    },
    [](std::string_view body) { return decodeAs<presence_fields>(body, buildPresence); },
    [](std::string_view body) { return decodeAs<forwarded_fields>(body, buildForwarded); },
};

static_assert(std::size(decoders) == std::variant_size_v<peer_message>);

} // namespace

std::string encodeEnvelope(const peer_envelope &envelope)
{
    return base::packFields(envelope_fields(
        wireVersion, envelope.from.node.value(), envelope.from.storage.value(),
        envelope.to.node.value(), envelope.to.storage.value(),
        static_cast<std::uint8_t>(envelope.message.index()), encodeBody(envelope.message)));
}

base::result<peer_envelope> decodeEnvelope(std::string_view bytes)
{
    if (bytes.size() > maxEnvelopeBytes)
        return base::error {base::error_code::messageTooLarge, "replication message"};
    const base::result<envelope_fields> fields = base::unpackFields<envelope_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[version, fromNode, fromStorage, toNode, toStorage, kind, body]
        = base::valueOf(fields);
    if (version != wireVersion)
        return base::error {base::error_code::messageVersion, std::to_string(version)};
    if (kind >= std::size(decoders))
        return base::error {base::error_code::messageMalformed, "unknown kind of message"};
    const base::result<peer_message> message = decoders[kind](body);
    if (const base::error *failure = base::errorOf(message))
        return *failure;
    return peer_envelope {replica_id {base::node_id(fromNode), storage_id(fromStorage)},
                          replica_id {base::node_id(toNode), storage_id(toStorage)},
                          base::valueOf(message)};
}

} // namespace lycheeshunt::replication
