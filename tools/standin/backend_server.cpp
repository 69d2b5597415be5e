// Stand-in for a backend server's TCP stack and application. It takes callers' IP packets as UDP
// datagrams from its agent and sends its answers back the same way. A packet of a connection that
// it does not know gets a reset, as from a real TCP stack.

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
    std::uint32_t expected;
    std::uint32_t next;
    std::string lastAnswer;
};

std::string answerPacket(const Tins::IP &request, const connection &state, int flags,
                         const std::string &payload)
{
    const Tins::TCP &segment = request.rfind_pdu<Tins::TCP>();
    Tins::TCP tcp(segment.sport(), segment.dport());
    tcp.seq(state.next);
    tcp.ack_seq(state.expected);
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

    // The packet to send back; empty for none.
    std::string handle(const std::string &bytes)
    {
        const base::result<packets::ip_summary> summary
            = packets::summarize(bytes, packets::direction::fromCaller);
        if (!base::isOk(summary))
            return {};
        const Tins::IP request(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                               static_cast<std::uint32_t>(bytes.size()));
        const Tins::TCP &segment = request.rfind_pdu<Tins::TCP>();
        const packets::ip_summary &known = base::valueOf(summary);
        if (known.opens)
            return open(known.key, request, segment);
        const auto found = m_connections.find(known.key);
        if (known.resets) {
            m_connections.erase(known.key);
            return {};
        }
        if (found == m_connections.end())
            return packets::resetFor(bytes);
        return proceed(found->second, known, request, segment);
    }

private:
    std::string open(const base::flow_key &key, const Tins::IP &request, const Tins::TCP &segment)
    {
        connection state {segment.seq() + 1, firstSequence, {}};
        std::string answer = answerPacket(request, state, Tins::TCP::SYN | Tins::TCP::ACK, {});
        state.next += 1;
        m_connections.insert_or_assign(key, state);
        return answer;
    }

    std::string proceed(connection &state, const packets::ip_summary &known,
                        const Tins::IP &request, const Tins::TCP &segment)
    {
        const std::uint32_t consumed = known.payloadBytes + (known.finishes ? 1U : 0U);
        if (consumed == 0)
            return {};
        if (segment.seq() != state.expected)
            return state.lastAnswer;
        state.expected += consumed;
        if (known.finishes) {
            state.lastAnswer = answerPacket(request, state, Tins::TCP::FIN | Tins::TCP::ACK, {});
            return state.lastAnswer;
        }
        const Tins::RawPDU &body = request.rfind_pdu<Tins::RawPDU>();
        const std::string payload = m_service + "|" + m_name + "|"
            + std::string(body.payload().begin(), body.payload().end());
        state.lastAnswer = answerPacket(request, state, Tins::TCP::PSH | Tins::TCP::ACK, payload);
        state.next += static_cast<std::uint32_t>(payload.size());
        return state.lastAnswer;
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

    const base::result<base::endpoint> where = base::parseEndpoint(local);
    const base::result<base::endpoint> to = base::parseEndpoint(agent);
    if (!base::isOk(where) || !base::isOk(to))
        return 2;
    const base::result<base::file_descriptor> socket
        = base::openDatagramSocket(base::valueOf(where));
    if (const base::error *failure = base::errorOf(socket)) {
        std::cerr << failure->text() << "\n";
        return 3;
    }
    const int descriptor = base::valueOf(socket).get();
    server stack(service, name);
    while (true) {
        pollfd watched {descriptor, POLLIN, 0};
        ::poll(&watched, 1, -1);
        while (const std::optional<std::string> bytes = packets::receiveDatagram(descriptor)) {
            const std::string answer = stack.handle(*bytes);
            if (!answer.empty())
                packets::sendDatagram(descriptor, base::valueOf(to), answer);
        }
    }
}
