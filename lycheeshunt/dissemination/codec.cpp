#include "lycheeshunt/dissemination/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/base/compression.h"
#include "lycheeshunt/base/endpoint_fields.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/internal/change_fields.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/tickets/codec.h"

#include <tuple>

namespace lycheeshunt::dissemination {

namespace {

enum message_kind : std::uint8_t {
    deltaKind = 1,
    pieceKind = 2,
    requestKind = 3,
    acknowledgementKind = 4,
    directoryKind = 5,
    compressedPieceKind = 6,
    windowKind = 7,
};

constexpr std::size_t maxDirectory = 64;
// Before compression. A message on a stream has at most this size.
constexpr std::uint32_t maxPieceBytes = 4 * 1024 * 1024;

using internal::change_fields;
using cursor_fields = std::tuple<std::uint8_t, std::uint64_t, std::string>;
using delta_fields
    = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t, change_fields>;
using piece_fields = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, cursor_fields,
                                cursor_fields, change_fields>;
// At, newest, number of pieces that follow, bytes of the other piece_fields before compression,
// compressed bytes.
using compressed_piece_fields
    = std::tuple<std::uint64_t, std::uint64_t, std::uint32_t, std::uint32_t, std::string>;
using window_fields = std::tuple<std::uint32_t>;
using request_fields = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t,
                                  std::uint64_t, std::uint64_t, cursor_fields>;
using address_fields = base::endpoint_fields;
using directory_fields = std::tuple<address_fields, std::vector<address_fields>>;
using acknowledgement_fields = std::tuple<std::uint64_t, std::uint64_t>;

template <typename fields_type>
std::string pack(message_kind kind, const fields_type &fields)
{
    return std::string(1, static_cast<char>(kind)) + base::packFields(fields);
}

change_fields fieldsOf(const view_change &change)
{
    change_fields fields;
    auto &[services, removedServices, members, removedMembers, draining, undrained, routes,
           removedRoutes]
        = fields.lists;
    for (auto it = change.services.begin(); it != change.services.end(); ++it) {
        if (it->second)
            services.push_back(tickets::encodeService(*it->second));
        else
            removedServices.push_back(it->first.value());
    }
    for (auto it = change.members.begin(); it != change.members.end(); ++it) {
        if (it->second.member)
            members.push_back(membership::encodeMember(*it->second.member));
        else
            removedMembers.push_back(it->first.value());
    }
    for (auto it = change.draining.begin(); it != change.draining.end(); ++it)
        (it->second ? draining : undrained).push_back(it->first);
    for (auto it = change.routes.begin(); it != change.routes.end(); ++it) {
        if (it->second)
            routes.push_back(tickets::encodeRoute(*it->second));
        else
            removedRoutes.push_back(tickets::encodeAddress(it->first));
    }
    for (auto it = change.evacuations.begin(); it != change.evacuations.end(); ++it)
        (it->second ? fields.evacuated : fields.returned).push_back(it->first);
    return fields;
}

base::result<view_change> changeFrom(const change_fields &fields)
{
    const auto &[rawServices, removedServices, rawMembers, removedMembers, draining, undrained,
                 rawRoutes, removedRoutes]
        = fields.lists;
    std::map<base::service_id, std::optional<tickets::service_definition>> services;
    for (const std::string &raw : rawServices) {
        const base::result<tickets::service_definition> service = tickets::decodeService(raw);
        if (const base::error *failure = base::errorOf(service))
            return *failure;
        services.emplace(base::valueOf(service).id(), base::valueOf(service));
    }
    for (const std::uint64_t id : removedServices)
        services.emplace(base::service_id(id), std::nullopt);
    std::map<base::node_id, member_change> members;
    for (const std::string &raw : rawMembers) {
        const base::result<membership::member> member = membership::decodeMember(raw);
        if (const base::error *failure = base::errorOf(member))
            return *failure;
        members.emplace(base::valueOf(member).id(),
                        member_change {base::valueOf(member), base::service_id()});
    }
    for (const std::uint64_t id : removedMembers)
        members.emplace(base::node_id(id), member_change {std::nullopt, base::service_id()});
    std::map<std::string, bool> drains;
    for (const std::string &name : draining)
        drains.emplace(name, true);
    for (const std::string &name : undrained)
        drains.emplace(name, false);
    std::map<tickets::service_address, std::optional<tickets::address_route>> routes;
    for (const std::string &raw : rawRoutes) {
        const base::result<tickets::address_route> route = tickets::decodeRoute(raw);
        if (const base::error *failure = base::errorOf(route))
            return *failure;
        routes.emplace(base::valueOf(route).address, base::valueOf(route));
    }
    for (const std::string &raw : removedRoutes) {
        const base::result<tickets::service_address> address = tickets::decodeAddress(raw);
        if (const base::error *failure = base::errorOf(address))
            return *failure;
        routes.emplace(base::valueOf(address), std::nullopt);
    }
    std::map<std::string, bool> evacuations;
    for (const std::string &zone : fields.evacuated)
        evacuations.emplace(zone, true);
    for (const std::string &zone : fields.returned)
        evacuations.emplace(zone, false);
    return view_change {std::move(services), std::move(members), std::move(drains),
                        std::move(routes), std::move(evacuations)};
}

cursor_fields fieldsOf(const snapshot_cursor &cursor)
{
    return cursor_fields(static_cast<std::uint8_t>(cursor.section), cursor.key, cursor.name);
}

base::result<snapshot_cursor> cursorFrom(const cursor_fields &fields)
{
    const auto &[section, key, name] = fields;
    if (section < static_cast<std::uint8_t>(snapshot_section::services)
        || section > static_cast<std::uint8_t>(snapshot_section::evacuated))
        return base::error {base::error_code::messageMalformed, "unknown snapshot section"};
    return snapshot_cursor {static_cast<snapshot_section>(section), key, name};
}

base::result<control_message> decodeDelta(std::string_view body)
{
    const base::result<delta_fields> fields = base::unpackFields<delta_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[from, to, newest, digest, rawChange] = base::valueOf(fields);
    const base::result<view_change> change = changeFrom(rawChange);
    if (const base::error *failure = base::errorOf(change))
        return *failure;
    return control_message(view_delta {base::generation(from), base::generation(to),
                                       base::generation(newest), view_digest(digest),
                                       base::valueOf(change)});
}

// The fields of a piece before its body.
std::string encodePieceHead(base::generation at, base::generation newest)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(std::tuple_size_v<piece_fields>);
    packer.pack(at.value());
    packer.pack(newest.value());
    return std::string(buffer.data(), buffer.size());
}

base::result<control_message> pieceFrom(const piece_fields &fields, std::uint32_t follows)
{
    const auto &[at, newest, digest, rawStart, rawNext, rawPart] = fields;
    const base::result<snapshot_cursor> start = cursorFrom(rawStart);
    if (const base::error *failure = base::errorOf(start))
        return *failure;
    const base::result<snapshot_cursor> next = cursorFrom(rawNext);
    if (const base::error *failure = base::errorOf(next))
        return *failure;
    const base::result<view_change> part = changeFrom(rawPart);
    if (const base::error *failure = base::errorOf(part))
        return *failure;
    return control_message(snapshot_piece {base::generation(at), base::generation(newest),
                                           view_digest(digest), base::valueOf(start),
                                           base::valueOf(next), base::valueOf(part), follows});
}

base::result<control_message> decodePiece(std::string_view body)
{
    const base::result<piece_fields> fields = base::unpackFields<piece_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return pieceFrom(base::valueOf(fields), 0);
}

base::result<control_message> decodeCompressedPiece(std::string_view body)
{
    const base::result<compressed_piece_fields> fields
        = base::unpackFields<compressed_piece_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[at, newest, follows, length, bytes] = base::valueOf(fields);
    const base::result<std::string> plain
        = base::expand(base::compressed_bytes {length, bytes}, maxPieceBytes);
    if (const base::error *failure = base::errorOf(plain))
        return *failure;
    const base::result<piece_fields> piece = base::unpackFields<piece_fields>(
        encodePieceHead(base::generation(at), base::generation(newest)) + base::valueOf(plain));
    if (const base::error *failure = base::errorOf(piece))
        return *failure;
    return pieceFrom(base::valueOf(piece), follows);
}

std::string encodeDirectory(const control_directory &directory)
{
    std::vector<address_fields> members;
    for (const base::endpoint &member : directory.members)
        members.push_back(base::fieldsOf(member));
    return pack(directoryKind, directory_fields(base::fieldsOf(directory.leader), members));
}

base::result<control_message> decodeDirectory(std::string_view body)
{
    const base::result<directory_fields> fields = base::unpackFields<directory_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[leader, raw] = base::valueOf(fields);
    if (raw.size() > maxDirectory)
        return base::error {base::error_code::messageTooLarge,
                            "more than 64 control VMs in the directory"};
    std::vector<base::endpoint> members;
    for (const address_fields &member : raw)
        members.push_back(base::endpointOf(member));
    return control_message(control_directory {base::endpointOf(leader), std::move(members)});
}

base::result<node_message> decodeRequest(std::string_view body)
{
    const base::result<request_fields> fields = base::unpackFields<request_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[node, incarnation, scope, current, atLeast, snapshotAt, rawCursor]
        = base::valueOf(fields);
    const base::result<snapshot_cursor> cursor = cursorFrom(rawCursor);
    if (const base::error *failure = base::errorOf(cursor))
        return *failure;
    return node_message(view_request {base::node_id(node), base::incarnation(incarnation),
                                      view_scope {base::service_id(scope)},
                                      base::generation(current), base::generation(atLeast),
                                      base::generation(snapshotAt), base::valueOf(cursor)});
}

base::result<node_message> decodeAcknowledgement(std::string_view body)
{
    const base::result<acknowledgement_fields> fields
        = base::unpackFields<acknowledgement_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[at, digest] = base::valueOf(fields);
    return node_message(acknowledgement {base::generation(at), view_digest(digest)});
}

base::result<node_message> decodeWindow(std::string_view body)
{
    const base::result<window_fields> fields = base::unpackFields<window_fields>(body);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    return node_message(view_window {std::get<0>(base::valueOf(fields))});
}

base::error unknownKind()
{
    return base::error {base::error_code::messageVersion, "unknown kind of view message"};
}

} // namespace

std::string encodeControlMessage(const control_message &message)
{
    return std::visit(
        base::overloaded {
            [](const view_delta &delta) {
                return pack(deltaKind,
                            delta_fields(delta.from.value(), delta.to.value(), delta.newest.value(),
                                         delta.digest.value(), fieldsOf(delta.change)));
            },
            [](const snapshot_piece &piece) {
                const std::string body = encodePieceBody(
                    snapshot_cut {piece.at, piece.digest, piece.start, piece.next, piece.part});
                return piece.follows == 0
                    ? encodePiece(piece.at, piece.newest, body)
                    : encodeCompressedPiece(piece.at, piece.newest, piece.follows,
                                            base::compress(body));
            },
            [](const control_directory &directory) { return encodeDirectory(directory); },
        },
        message);
}

std::string encodePieceBody(const snapshot_cut &cut)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack(cut.digest.value());
    packer.pack(fieldsOf(cut.start));
    packer.pack(fieldsOf(cut.next));
    packer.pack(fieldsOf(cut.part));
    return std::string(buffer.data(), buffer.size());
}

std::string encodePiece(base::generation at, base::generation newest, const std::string &body)
{
    return std::string(1, pieceKind) + encodePieceHead(at, newest) + body;
}

std::string encodeCompressedPiece(base::generation at, base::generation newest,
                                  std::uint32_t follows, const base::compressed_bytes &body)
{
    return pack(
        compressedPieceKind,
        compressed_piece_fields(at.value(), newest.value(), follows, body.length, body.bytes));
}

base::result<control_message> decodeControlMessage(std::string_view bytes)
{
    if (bytes.empty())
        return unknownKind();
    switch (static_cast<std::uint8_t>(bytes.front())) {
    case deltaKind:
        return decodeDelta(bytes.substr(1));
    case pieceKind:
        return decodePiece(bytes.substr(1));
    case compressedPieceKind:
        return decodeCompressedPiece(bytes.substr(1));
    case directoryKind:
        return decodeDirectory(bytes.substr(1));
    default:
        return unknownKind();
    }
}

std::string encodeNodeMessage(const node_message &message)
{
    return std::visit(
        base::overloaded {
            [](const view_request &request) {
                return pack(requestKind,
                            request_fields(request.node.value(), request.incarnation.value(),
                                           request.scope.service.value(), request.current.value(),
                                           request.atLeast.value(), request.snapshotAt.value(),
                                           fieldsOf(request.cursor)));
            },
            [](const acknowledgement &ack) {
                return pack(acknowledgementKind,
                            acknowledgement_fields(ack.at.value(), ack.digest.value()));
            },
            [](const view_window &window) {
                return pack(windowKind, window_fields(window.pieces));
            },
        },
        message);
}

base::result<node_message> decodeNodeMessage(std::string_view bytes)
{
    if (bytes.empty())
        return unknownKind();
    switch (static_cast<std::uint8_t>(bytes.front())) {
    case requestKind:
        return decodeRequest(bytes.substr(1));
    case acknowledgementKind:
        return decodeAcknowledgement(bytes.substr(1));
    case windowKind:
        return decodeWindow(bytes.substr(1));
    default:
        return unknownKind();
    }
}

} // namespace lycheeshunt::dissemination
