#include "tools/soaktest/tcp_segment.h"

#include "lycheeshunt/packets/ip_packet.h"

#include <netinet/in.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

namespace lycheeshunt::soak {

std::string encode(const tcp_segment &segment, segment_source from)
{
    const bool isCaller = from == segment_source::caller;
    const base::endpoint &source = isCaller ? segment.flow.caller : segment.flow.service;
    const base::endpoint &target = isCaller ? segment.flow.service : segment.flow.caller;
    Tins::TCP tcp(target.port, source.port);
    tcp.seq(segment.sequence);
    tcp.ack_seq(segment.acknowledged);
    tcp.set_flag(Tins::TCP::SYN, segment.synchronizes ? 1 : 0);
    tcp.set_flag(Tins::TCP::FIN, segment.finishes ? 1 : 0);
    tcp.set_flag(Tins::TCP::RST, segment.resets ? 1 : 0);
    tcp.set_flag(Tins::TCP::ACK, isCaller && segment.synchronizes ? 0 : 1);
    Tins::IP ip = Tins::IP(Tins::IPv4Address(htonl(target.address)),
                           Tins::IPv4Address(htonl(source.address)))
        / tcp;
    if (!segment.payload.empty())
        ip /= Tins::RawPDU(segment.payload);
    const Tins::PDU::serialization_type raw = ip.serialize();
    return std::string(raw.begin(), raw.end());
}

std::optional<tcp_segment> decode(const std::string &packet, segment_source from)
{
    const base::result<packets::ip_summary> summary
        = packets::summarize(packet,
                             from == segment_source::caller ? packets::direction::fromCaller
                                                            : packets::direction::toCaller);
    if (!base::isOk(summary) || base::valueOf(summary).key.protocol != IPPROTO_TCP)
        return std::nullopt;
    const Tins::IP ip(reinterpret_cast<const std::uint8_t *>(packet.data()),
                      static_cast<std::uint32_t>(packet.size()));
    const Tins::TCP &tcp = ip.rfind_pdu<Tins::TCP>();
    const Tins::RawPDU *body = ip.find_pdu<Tins::RawPDU>();
    return tcp_segment {base::valueOf(summary).key,
                        tcp.seq(),
                        tcp.ack_seq(),
                        tcp.get_flag(Tins::TCP::SYN) != 0,
                        tcp.get_flag(Tins::TCP::FIN) != 0,
                        tcp.get_flag(Tins::TCP::RST) != 0,
                        body == nullptr
                            ? std::string()
                            : std::string(body->payload().begin(), body->payload().end())};
}

} // namespace lycheeshunt::soak
