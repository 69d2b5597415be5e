#include "lycheeshunt/packets/ip_packet.h"

#include "lycheeshunt/packets/packet_codec.h"

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <tins/ip.h>
#include <tins/tcp.h>

#include <cstring>

namespace lycheeshunt::packets {

namespace {

constexpr std::size_t wordBytes = 4;
constexpr std::uint16_t fragmentMask = IP_MF | IP_OFFMASK;

base::error truncated(const char *what)
{
    return base::error {base::error_code::packetTruncated, what};
}

base::flow_key keyOf(const iphdr &ip, std::uint16_t sourcePort, std::uint16_t targetPort,
                     direction packetDirection)
{
    const base::endpoint source {ntohl(ip.saddr), ntohs(sourcePort)};
    const base::endpoint target {ntohl(ip.daddr), ntohs(targetPort)};
    return packetDirection == direction::fromCaller ? base::flow_key {source, target, ip.protocol}
                                                    : base::flow_key {target, source, ip.protocol};
}

base::result<ip_summary> summarizeTcp(const iphdr &ip, std::string_view segment,
                                      direction packetDirection)
{
    tcphdr tcp {};
    if (segment.size() < sizeof tcp)
        return truncated("TCP header");
    std::memcpy(&tcp, segment.data(), sizeof tcp);
    const std::size_t headerBytes = tcp.doff * wordBytes;
    if (headerBytes < sizeof tcp || headerBytes > segment.size())
        return truncated("TCP options");
    return ip_summary {keyOf(ip, tcp.source, tcp.dest, packetDirection),
                       tcp.syn != 0 && tcp.ack == 0,
                       tcp.fin != 0,
                       tcp.rst != 0,
                       static_cast<std::uint16_t>(segment.size() - headerBytes),
                       false,
                       false,
                       ntohl(tcp.seq) + (tcp.syn != 0 ? 1U : 0U)};
}

base::result<ip_summary> summarizeUdp(const iphdr &ip, std::string_view datagram,
                                      direction packetDirection)
{
    udphdr udp {};
    if (datagram.size() < sizeof udp)
        return truncated("UDP header");
    std::memcpy(&udp, datagram.data(), sizeof udp);
    // UDP has no opening packet, so any datagram may be the first of its flow.
    return ip_summary {keyOf(ip, udp.source, udp.dest, packetDirection), true, false, false,
                       static_cast<std::uint16_t>(datagram.size() - sizeof udp)};
}

} // namespace

base::result<ip_summary> summarize(std::string_view bytes, direction packetDirection)
{
    iphdr ip {};
    if (bytes.size() < sizeof ip)
        return truncated("IP header");
    std::memcpy(&ip, bytes.data(), sizeof ip);
    const std::size_t headerBytes = ip.ihl * wordBytes;
    const std::size_t totalBytes = ntohs(ip.tot_len);
    if (ip.version != IPVERSION)
        return base::error {base::error_code::packetUnsupported, "IP version"};
    if (headerBytes < sizeof ip || totalBytes < headerBytes || totalBytes != bytes.size())
        return truncated("IP length");
    if ((ntohs(ip.frag_off) & fragmentMask) != 0)
        return base::error {base::error_code::packetUnsupported, "fragment"};
    const std::string_view payload = bytes.substr(headerBytes);
    if (ip.protocol == IPPROTO_TCP)
        return summarizeTcp(ip, payload, packetDirection);
    if (ip.protocol == IPPROTO_UDP)
        return summarizeUdp(ip, payload, packetDirection);
    return base::error {base::error_code::packetUnsupported, "IP protocol"};
}

// Parses the headers without the packet library, which throws on malformed options.
std::string resetFor(std::string_view callerPacket)
{
    const base::result<ip_summary> summary = summarize(callerPacket, direction::fromCaller);
    const ip_summary *parsed = std::get_if<ip_summary>(&summary);
    if (parsed == nullptr || parsed->resets || parsed->key.protocol != IPPROTO_TCP)
        return {};
    iphdr ip {};
    tcphdr received {};
    std::memcpy(&ip, callerPacket.data(), sizeof ip);
    std::memcpy(&received, callerPacket.data() + ip.ihl * wordBytes, sizeof received);
    Tins::TCP reset(parsed->key.caller.port, parsed->key.service.port);
    if (received.ack != 0) {
        reset.seq(ntohl(received.ack_seq));
        reset.flags(Tins::TCP::RST);
    } else {
        const std::uint32_t consumed
            = parsed->payloadBytes + (received.syn != 0 ? 1U : 0U) + (received.fin != 0 ? 1U : 0U);
        reset.ack_seq(ntohl(received.seq) + consumed);
        reset.flags(Tins::TCP::RST | Tins::TCP::ACK);
    }
    Tins::IP answer = Tins::IP(Tins::IPv4Address(ip.saddr), Tins::IPv4Address(ip.daddr)) / reset;
    answer.ttl(IPDEFTTL);
    const Tins::PDU::serialization_type raw = answer.serialize();
    return std::string(raw.begin(), raw.end());
}

packet_codec ipPackets()
{
    return packet_codec {
        summarize, resetFor, [](std::string bytes) { return bytes; },
        [](const base::flow_key &, const base::endpoint &fabric) { return fabric; }};
}

} // namespace lycheeshunt::packets
