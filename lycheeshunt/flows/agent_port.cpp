#include "lycheeshunt/flows/agent_port.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/planted_fault.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/codec.h"

#include <poll.h>

namespace lycheeshunt::flows {

namespace {

constexpr std::size_t actionRingCapacity = 8192;
// Datagrams read from one socket before the other is served.
constexpr int receiveBurst = 64;
constexpr int noTimeout = -1;

#ifdef LYCHEESHUNT_PLANTED_FAULTS
// Delivers the payload again as if the caller had sent it twice, by the sequence number.
void repeatRequest(int descriptor, const base::endpoint &server, std::string_view packet)
{
    constexpr std::size_t ipHeaderBytes = 20;
    constexpr std::size_t sequenceAt = ipHeaderBytes + 4;
    constexpr int bitsPerByte = 8;
    const base::result<packets::ip_summary> summary
        = packets::summarize(packet, packets::direction::fromCaller);
    const packets::ip_summary *valid = std::get_if<packets::ip_summary>(&summary);
    if (valid == nullptr || valid->payloadBytes == 0)
        return;
    std::uint32_t next = valid->sequence + valid->payloadBytes;
    std::string copy(packet);
    for (std::size_t i = sequenceAt + sizeof next; i-- > sequenceAt; next >>= bitsPerByte)
        copy[i] = static_cast<char>(next);
    packets::sendDatagram(descriptor, server, copy);
}
#endif

} // namespace

base::result<std::unique_ptr<agent_port>> agent_port::open(const agent_sockets &sockets,
                                                           const packets::packet_codec &codec,
                                                           base::incarnation incarnation,
                                                           base::ring<flow_message> &inbox)
{
    base::result<base::file_descriptor> peerSide = base::openDatagramSocket(sockets.packets);
    if (const base::error *failure = base::errorOf(peerSide))
        return *failure;
    base::result<base::file_descriptor> serverSide = base::openDatagramSocket(sockets.serverSide);
    if (const base::error *failure = base::errorOf(serverSide))
        return *failure;
    return std::unique_ptr<agent_port>(
        new agent_port(sockets, codec, incarnation, base::takeValue(std::move(peerSide)),
                       base::takeValue(std::move(serverSide)), inbox));
}

agent_port::agent_port(const agent_sockets &sockets, const packets::packet_codec &codec,
                       base::incarnation incarnation, base::file_descriptor peerSide,
                       base::file_descriptor serverSide, base::ring<flow_message> &inbox)
    : m_addresses(sockets), m_codec(codec), m_incarnation(incarnation.value()),
      m_peerSide(std::move(peerSide)), m_serverSide(std::move(serverSide)), m_inbox(inbox),
      m_actions(actionRingCapacity), m_thread([this]() { run(); })
{
}

agent_port::~agent_port()
{
    m_actions.close();
    m_thread.join();
}

void agent_port::run()
{
    while (!m_actions.isClosed() || m_actions.depth() > 0) {
        pollfd watched[] = {{m_peerSide.get(), POLLIN, 0},
                            {m_serverSide.get(), POLLIN, 0},
                            {m_actions.descriptor(), POLLIN, 0}};
        ::poll(watched, std::size(watched), noTimeout);
        if (watched[0].revents != 0)
            base::runGuarded("flows", [this]() { receiveFromPeers(); });
        if (watched[1].revents != 0)
            base::runGuarded("flows", [this]() { receiveFromServer(); });
        while (const std::optional<flow_action> action = m_actions.tryPop())
            base::runGuarded("flows", [&]() { carryOut(*action); });
    }
}

void agent_port::receiveFromPeers()
{
    for (int i = 0; i < receiveBurst; ++i) {
        const std::optional<packets::received_datagram> received
            = packets::receiveDatagramFrom(m_peerSide.get());
        if (!received)
            return;
        if (routing::hasProbePrefix(received->bytes)) {
            answerProbe(*received);
            continue;
        }
        const base::result<flow_datagram> decoded = decodeDatagram(received->bytes, m_codec);
        if (!base::isOk(decoded)) {
            ++m_malformed;
            continue;
        }
        std::visit([this](const auto &message) { m_inbox.tryPush(flow_message(message)); },
                   base::valueOf(decoded));
    }
}

void agent_port::answerProbe(const packets::received_datagram &received)
{
    const std::optional<std::string> echo
        = routing::echoOf(received.bytes, base::incarnation(m_incarnation));
    if (echo)
        packets::sendDatagram(m_peerSide.get(), received.from, *echo);
    else
        ++m_malformed;
}

void agent_port::receiveFromServer()
{
    for (int i = 0; i < receiveBurst; ++i) {
        std::optional<std::string> bytes = packets::receiveDatagram(m_serverSide.get());
        if (!bytes)
            return;
        const base::result<packets::ip_summary> summary
            = m_codec.summarize(*bytes, packets::direction::toCaller);
        if (!base::isOk(summary)) {
            ++m_malformed;
            continue;
        }
        m_inbox.tryPush(server_answer {base::valueOf(summary),
                                       base::packet_bytes(m_codec.asSent(std::move(*bytes)))});
    }
}

void agent_port::sendToCaller(std::string_view bytes)
{
    const base::result<packets::ip_summary> summary
        = m_codec.summarize(bytes, packets::direction::toCaller);
    if (const packets::ip_summary *valid = std::get_if<packets::ip_summary>(&summary))
        packets::sendDatagram(m_peerSide.get(),
                              m_codec.towardsCaller(valid->key, m_addresses.fabric), bytes);
}

void agent_port::sendToServer(std::string_view bytes)
{
    packets::sendDatagram(m_serverSide.get(), m_addresses.server, bytes);
#ifdef LYCHEESHUNT_PLANTED_FAULTS
    if (base::isFaultPlanted("request_repeated"))
        repeatRequest(m_serverSide.get(), m_addresses.server, bytes);
#endif
}

void agent_port::carryOut(const flow_action &action)
{
    std::visit(base::overloaded {
                   [this](const send_packet &send) {
                       packets::sendDatagram(m_peerSide.get(), send.to, encodePacket(send.packet));
                   },
                   [this](const send_to_peer &send) {
                       packets::sendDatagram(m_peerSide.get(), send.to, encodePeer(send.message));
                   },
                   [this](const deliver_to_server &deliver) { sendToServer(deliver.bytes.view()); },
                   [this](const answer_caller &answer) { sendToCaller(answer.bytes.view()); },
                   [this](const reset_caller &reset) {
                       ++m_resets;
                       const std::string bytes = m_codec.resetFor(reset.callerPacket.view());
                       if (!bytes.empty())
                           sendToCaller(bytes);
                   },
                   [this](const refuse_packet &) { ++m_refused; },
                   // Logged and counted on the flow thread already.
                   [](const flow_event &) {},
                   [](const request_timing &) {},
               },
               action);
}

} // namespace lycheeshunt::flows
