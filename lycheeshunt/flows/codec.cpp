#include "lycheeshunt/flows/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/flows/internal/peer_codec.h"
#include "lycheeshunt/flows/internal/span_writer.h"
#include "lycheeshunt/flows/packet_header.h"
#include "lycheeshunt/packets/ip_packet.h"

#include <tuple>

namespace lycheeshunt::flows {

namespace {

using internal::malformed;
using internal::packetKind;
using internal::wireVersion;

// More than any list or message has, so that their own bounds give the reason.
constexpr std::size_t maxItems = 1024;

// The fields that every forwarded packet begins with. The packet is the last field; a class may
// stand before it.
using leading_fields = std::tuple<std::uint8_t, std::uint8_t, std::uint64_t, std::uint64_t,
                                  std::uint64_t, std::uint8_t, std::uint8_t, std::uint32_t,
                                  std::uint16_t, std::vector<std::uint64_t>, bool>;
constexpr std::uint32_t plainFields = std::tuple_size_v<leading_fields> + 1;
constexpr std::uint32_t classedFields = plainFields + 1;

constexpr unsigned kindShift = 8;
constexpr unsigned priorityMask = 0xff;

std::uint16_t encodedClass(const request_class &requestClass)
{
    return static_cast<std::uint16_t>(static_cast<unsigned>(requestClass.kind) << kindShift
                                      | requestClass.priority);
}

base::result<request_class> classFrom(std::uint16_t encoded)
{
    const unsigned kind = encoded >> kindShift;
    if (kind < static_cast<unsigned>(tickets::request_kind::idempotent)
        || kind > static_cast<unsigned>(tickets::request_kind::upload))
        return malformed("request kind");
    return request_class {static_cast<tickets::request_kind>(kind),
                          static_cast<std::uint8_t>(encoded & priorityMask)};
}

base::result<flow_datagram> packetFrom(const msgpack::object &object,
                                       const packets::packet_codec &codec)
{
    leading_fields fields;
    object.convert(fields);
    const std::uint8_t stage = std::get<5>(fields);
    if (stage < static_cast<std::uint8_t>(packet_stage::toDirector)
        || stage > static_cast<std::uint8_t>(packet_stage::unknown))
        return malformed("packet stage");
    const std::vector<std::uint64_t> &listed = std::get<9>(fields);
    if (listed.size() > maxListedAgents)
        return base::error {base::error_code::messageTooLarge, "agents of a packet"};
    std::vector<base::node_id> agents;
    agents.reserve(listed.size());
    for (const std::uint64_t node : listed)
        agents.emplace_back(node);
    const msgpack::object_array &array = object.via.array;
    const base::result<request_class> requestClass = array.size == classedFields
        ? classFrom(array.ptr[plainFields - 1].as<std::uint16_t>())
        : request_class {};
    if (const base::error *failure = base::errorOf(requestClass))
        return *failure;
    const msgpack::type::raw_ref raw = array.ptr[array.size - 1].as<msgpack::type::raw_ref>();
    std::string bytes(raw.ptr, raw.size);
    const base::result<packets::ip_summary> summary
        = codec.summarize(bytes, packets::direction::fromCaller);
    if (const base::error *failure = base::errorOf(summary))
        return *failure;
    return flow_datagram(forwarded_packet {
        base::service_id(std::get<2>(fields)), base::incarnation(std::get<3>(fields)),
        base::generation(std::get<4>(fields)), static_cast<packet_stage>(stage),
        std::get<6>(fields), base::valueOf(summary), base::packet_bytes(std::move(bytes)),
        base::endpoint {std::get<7>(fields), std::get<8>(fields)}, std::move(agents),
        std::get<10>(fields), base::valueOf(requestClass)});
}

base::result<flow_datagram> datagramFrom(const msgpack::object &object,
                                         const packets::packet_codec &codec)
{
    constexpr std::uint32_t minFields = 2;
    if (object.type != msgpack::type::ARRAY || object.via.array.size < minFields)
        return malformed("wrong number of fields");
    if (object.via.array.ptr[0].as<std::uint8_t>() != wireVersion)
        return base::error {base::error_code::messageVersion, "flow datagram"};
    const std::uint8_t kind = object.via.array.ptr[1].as<std::uint8_t>();
    const std::uint32_t size = object.via.array.size;
    if (kind == packetKind && (size == plainFields || size == classedFields))
        return packetFrom(object, codec);
    const base::result<peer_message> message = internal::decodePeerFields(kind, object);
    if (const base::error *failure = base::errorOf(message))
        return *failure;
    return flow_datagram(base::valueOf(message));
}

} // namespace

std::size_t writePacketHeader(const packet_header &header, std::size_t packetBytes,
                              std::span<char> out)
{
    internal::span_writer writer(out);
    msgpack::packer<internal::span_writer> packer(writer);
    const bool hasClass = header.requestClass != request_class {};
    packer.pack_array(hasClass ? classedFields : plainFields);
    packer.pack(wireVersion);
    packer.pack(static_cast<std::uint8_t>(packetKind));
    packer.pack(header.service.value());
    packer.pack(header.incarnation.value());
    packer.pack(header.at.value());
    packer.pack(static_cast<std::uint8_t>(header.stage));
    packer.pack(header.hops);
    packer.pack(header.entry.address);
    packer.pack(header.entry.port);
    packer.pack_array(static_cast<std::uint32_t>(std::min(header.agents.size(), maxListedAgents)));
    for (std::size_t i = 0; i < std::min(header.agents.size(), maxListedAgents); ++i)
        packer.pack(header.agents[i].value());
    // A receiver of a list that was cut does not know every agent that may have the flow.
    packer.pack(header.isDoubtful || header.agents.size() > maxListedAgents);
    if (hasClass)
        packer.pack(encodedClass(header.requestClass));
    packer.pack_bin(static_cast<std::uint32_t>(packetBytes));
    return writer.used();
}

std::string encodePacketHeader(const forwarded_packet &packet, std::size_t packetBytes)
{
    char buffer[maxPacketHeaderBytes];
    const packet_header header {packet.service, packet.incarnation, packet.at,
                                packet.stage,   packet.hops,        packet.entry,
                                packet.agents,  packet.isDoubtful,  packet.requestClass};
    return std::string(buffer, writePacketHeader(header, packetBytes, buffer));
}

std::string encodePacket(const forwarded_packet &packet)
{
    std::string bytes = encodePacketHeader(packet, packet.bytes.view().size());
    bytes += packet.bytes.view();
    return bytes;
}

std::string encodePeer(const peer_message &message)
{
    return internal::encodePeerFields(message);
}

base::result<flow_datagram> decodeDatagram(std::string_view bytes,
                                           const packets::packet_codec &codec)
{
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr,
                              base::unpackLimit(bytes.size(), maxItems));
        if (offset != bytes.size())
            return malformed("bytes after the message");
        return datagramFrom(handle.get(), codec);
    } catch (const std::exception &failure) {
        return malformed(failure.what());
    }
}

} // namespace lycheeshunt::flows
