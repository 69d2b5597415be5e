// Simulates a backend server's TCP stack and application. It receives callers' IP packets in UDP
// datagrams from its agent and sends its answers back the same way. Like a real TCP stack, it
// answers a packet of an unknown connection with a reset.

#include "lycheeshunt/base/flow_key.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/packets/ip_packet.h"

#include <CLI/CLI.hpp>
#include <poll.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <iostream>
#include <unordered_map>

namespace {

using namespace lycheeshunt;

constexpr std::uint32_t firstSequence = 1000;

struct connection
{
    std::uint32_t expectedSequence;
    std::uint32_t nextSequence;
    std::string lastAnswer;
};

std::string answerPacket(const Tins::IP &request, const connection &connectionState, int flags,
                         const std::string &payload)
{
    const Tins::TCP &segment = request.rfind_pdu<Tins::TCP>();
    Tins::TCP tcp(segment.sport(), segment.dport());
    tcp.seq(connectionState.nextSequence);
    tcp.ack_seq(connectionState.expectedSequence);
    tcp.flags(static_cast<Tins::small_uint<12>>(flags));
    Tins::IP ip = Tins::IP(request.src_addr(), request.dst_addr()) / tcp;
    if (!payload.empty())
        ip /= Tins::RawPDU(payload);
    const Tins::PDU::serialization_type raw = ip.serialize();
    return std::string(raw.begin(), raw.end());
}

class server
{
public:
    server(std::string service, std::string name)
        : m_service(std::move(service)), m_name(std::move(name))
    {
    }

    // Returns the packet to send back, or an empty string for none.
    std::string handle(const std::string &bytes)
    {
        const base::result<packets::ip_summary> summary
            = packets::summarize(bytes, packets::direction::fromCaller);
        if (!base::isOk(summary))
            return {};
        const Tins::IP request(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                               static_cast<std::uint32_t>(bytes.size()));
        const Tins::TCP &segment = request.rfind_pdu<Tins::TCP>();
        const packets::ip_summary &packet = base::valueOf(summary);
        if (packet.opens)
            return acceptConnection(packet.key, request, segment);
        const auto found = m_connections.find(packet.key);
        if (packet.resets) {
            m_connections.erase(packet.key);
            return {};
        }
        if (found == m_connections.end())
            return packets::resetFor(bytes);
        return handleSegment(found->second, packet, request, segment);
    }

private:
    std::string acceptConnection(const base::flow_key &key, const Tins::IP &request,
                                 const Tins::TCP &segment)
    {
        connection connectionState {segment.seq() + 1, firstSequence, {}};
        std::string answer
            = answerPacket(request, connectionState, Tins::TCP::SYN | Tins::TCP::ACK, {});
        connectionState.nextSequence += 1;
        m_connections.insert_or_assign(key, connectionState);
        return answer;
    }

    std::string handleSegment(connection &connectionState, const packets::ip_summary &packet,
                              const Tins::IP &request, const Tins::TCP &segment)
    {
        const std::uint32_t consumed = packet.payloadBytes + (packet.finishes ? 1U : 0U);
        if (consumed == 0)
            return {};
        if (segment.seq() != connectionState.expectedSequence)
            return connectionState.lastAnswer;
        connectionState.expectedSequence += consumed;
        if (packet.finishes) {
            connectionState.lastAnswer
                = answerPacket(request, connectionState, Tins::TCP::FIN | Tins::TCP::ACK, {});
            return connectionState.lastAnswer;
        }
        const Tins::RawPDU &body = request.rfind_pdu<Tins::RawPDU>();
        const std::string payload = m_service + "|" + m_name + "|"
            + std::string(body.payload().begin(), body.payload().end());
        connectionState.lastAnswer
            = answerPacket(request, connectionState, Tins::TCP::PSH | Tins::TCP::ACK, payload);
        connectionState.nextSequence += static_cast<std::uint32_t>(payload.size());
        return connectionState.lastAnswer;
    }

    const std::string m_service;
    const std::string m_name;
    std::unordered_map<base::flow_key, connection> m_connections;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for a backend server");
    std::string service;
    std::string name;
    std::string local;
    std::string agent;
    app.add_option("--service", service)->required();
    app.add_option("--name", name)->required();
    app.add_option("--local", local, "takes callers' packets here")->required();
    app.add_option("--agent", agent, "the agent's server_side address")->required();
    CLI11_PARSE(app, argc, argv);

    const base::result<base::endpoint> localAddress = base::parseEndpoint(local);
    const base::result<base::endpoint> agentAddress = base::parseEndpoint(agent);
    if (!base::isOk(localAddress) || !base::isOk(agentAddress))
        return 2;
    const base::result<base::file_descriptor> socket
        = base::openDatagramSocket(base::valueOf(localAddress));
    if (const base::error *failure = base::errorOf(socket)) {
        std::cerr << failure->text() << "\n";
        return 3;
    }
    const int descriptor = base::valueOf(socket).get();
    server backend(service, name);
    while (true) {
        pollfd watched {descriptor, POLLIN, 0};
        ::poll(&watched, 1, -1);
        while (const std::optional<std::string> bytes = packets::receiveDatagram(descriptor)) {
            const std::string answer = backend.handle(*bytes);
            if (!answer.empty())
                packets::sendDatagram(descriptor, base::valueOf(agentAddress), answer);
        }
    }
}
