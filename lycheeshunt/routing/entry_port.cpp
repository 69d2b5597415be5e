#include "lycheeshunt/routing/entry_port.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/internal/packet_batch.h"
#include "lycheeshunt/routing/internal/steering_log.h"
#include "lycheeshunt/routing/request_class_of.h"
#include "lycheeshunt/routing/steering.h"

#include <poll.h>

namespace lycheeshunt::routing {

namespace {

constexpr std::size_t updateCapacity = 8;
constexpr int pollWithoutTimeout = -1;
// A packet's header for the agent, about.
constexpr std::size_t usualHeaderBytes = 45;

std::string datagramOf(const flows::packet_header &header, std::string_view packet)
{
    char buffer[flows::maxPacketHeaderBytes];
    std::string bytes(buffer, flows::writePacketHeader(header, packet.size(), buffer));
    bytes += packet;
    return bytes;
}

std::optional<base::clock_time> earlierOf(const std::optional<base::clock_time> &one,
                                          const std::optional<base::clock_time> &other)
{
    return one && other ? std::min(*one, *other) : one ? one : other;
}

int pollTimeout(const std::optional<base::clock_time> &until)
{
    if (!until)
        return pollWithoutTimeout;
    const base::clock_time wait = *until - base::clock_time::steady();
    return static_cast<int>(std::max(wait, base::clock_time()).millis());
}

} // namespace

base::result<std::unique_ptr<entry_port>> entry_port::open(const entry_sockets &sockets,
                                                           const packets::packet_codec &codec)
{
    base::result<base::file_descriptor> socket = base::openDatagramSocket(sockets.packets);
    if (const base::error *failure = base::errorOf(socket))
        return *failure;
    base::file_descriptor hintSocket;
    if (sockets.hints) {
        base::result<base::file_descriptor> opened = base::openDatagramSocket(*sockets.hints);
        if (const base::error *failure = base::errorOf(opened))
            return *failure;
        hintSocket = base::takeValue(std::move(opened));
    }
    return std::unique_ptr<entry_port>(
        new entry_port(sockets, codec, base::takeValue(std::move(socket)), std::move(hintSocket)));
}

entry_port::entry_port(const entry_sockets &sockets, const packets::packet_codec &codec,
                       base::file_descriptor socket, base::file_descriptor hintSocket)
    : m_sockets(sockets), m_codec(codec),
      m_hintEndpoint(hintSocket.isOpen() ? base::localEndpoint(hintSocket) : base::endpoint {}),
      m_socket(std::move(socket)), m_hintSocket(std::move(hintSocket)), m_hedging(sockets.hedging),
      m_openingAnswers("opening_answer_ms",
                       "Time from an opening packet to the hint that a server has answered."),
      m_egress(sockets.link), m_updates(updateCapacity),
      m_table(std::make_shared<const routing_table>()),
      m_bypass(std::make_shared<const bypassed_agents>()), m_thread([this]() { run(); })
{
}

entry_port::~entry_port()
{
    m_updates.close();
    m_thread.join();
}

base::endpoint entry_port::local() const
{
    return base::localEndpoint(m_socket);
}

void entry_port::run()
{
    const std::unique_ptr<internal::packet_batch> packets
        = std::make_unique<internal::packet_batch>();
    std::optional<base::clock_time> sendAt;
    std::optional<base::clock_time> hedgeAt;
    while (!m_updates.isClosed()) {
        // poll() ignores descriptors below 0, such as that of a hint socket that is not open.
        pollfd watched[] = {{m_socket.get(), POLLIN, 0},
                            {m_updates.descriptor(), POLLIN, 0},
                            {m_hintSocket.get(), POLLIN, 0}};
        ::poll(watched, std::size(watched), pollTimeout(earlierOf(sendAt, hedgeAt)));
        while (const std::optional<entry_update> update = m_updates.tryPop())
            base::runGuarded("routing", [&]() { handleUpdate(*update); });
        if (watched[2].revents != 0)
            base::runGuarded("routing", [this]() { receiveHints(); });
        if (watched[0].revents != 0)
            base::runGuarded("routing", [&]() { routeBatch(*packets); });
        base::runGuarded("routing", [&]() { hedgeAt = sendDueHedges(); });
        base::runGuarded("routing", [&]() { sendAt = sendDuePackets(); });
    }
}

void entry_port::handleUpdate(const entry_update &update)
{
    std::visit(base::overloaded {
                   [this](const shared_table &table) {
                       if (table->at() >= m_table->at())
                           m_table = table;
                       m_isReady = true;
                       routeEarlyPackets();
                   },
                   [this](const shared_bypass &bypass) { m_bypass = bypass; },
               },
               update);
}

void entry_port::routeBatch(internal::packet_batch &packets)
{
    const std::size_t count = packets.receive(m_socket.get());
    for (std::size_t i = 0; i < count; ++i)
        routePacket(packets, i);
    m_unsent += packets.send(m_socket.get());
}

std::optional<base::clock_time> entry_port::sendDuePackets()
{
    const base::clock_time now = base::clock_time::steady();
    while (const std::optional<pacing::queued_datagram> next = m_egress.takeNext(now)) {
        if (!packets::sendDatagram(m_socket.get(), next->to, next->bytes))
            ++m_unsent;
    }
    m_waitingBytes = m_egress.waitingBytes();
    return m_egress.nextAt(now);
}

void entry_port::enqueue(pacing::queued_datagram datagram, base::clock_time now)
{
    switch (m_egress.add(std::move(datagram), now)) {
    case pacing::queue_outcome::queued:
        ++m_paced;
        return;
    case pacing::queue_outcome::duplicate:
        ++m_copies;
        return;
    case pacing::queue_outcome::full:
        ++m_overflowed;
        return;
    }
}

void entry_port::sendPaced(const packets::ip_summary &summary, const base::endpoint &to,
                           std::string bytes)
{
    const base::clock_time now = base::clock_time::steady();
    if (!m_egress.tryPass(bytes.size(), now))
        enqueue(pacing::queued_datagram {summary, to, std::move(bytes),
                                         requestClassOf(*m_table, summary.key).priority},
                now);
    else if (!packets::sendDatagram(m_socket.get(), to, bytes))
        ++m_unsent;
}

void entry_port::routePacket(internal::packet_batch &packets, std::size_t index)
{
    const base::result<packets::ip_summary> parsed
        = m_codec.summarize(packets.packet(index), packets::direction::fromCaller);
    if (!base::isOk(parsed)) {
        ++m_malformed;
        return;
    }
    const packets::ip_summary &summary = base::valueOf(parsed);
    if (!m_isReady) {
        bufferEarlyPacket(packets.packet(index), summary);
        return;
    }
    const base::clock_time now = base::clock_time::steady();
    const steering decision = steer(*m_table, *m_bypass, m_hints, summary, now);
    std::visit(base::overloaded {
                   [&](const steer_to &to) {
                       m_hinted += to.stage == flows::packet_stage::toOwner ? 1 : 0;
                       const flows::packet_header header {to.destination.service,
                                                          to.destination.to.incarnation,
                                                          to.destination.at,
                                                          to.stage,
                                                          0,
                                                          m_hintEndpoint,
                                                          {},
                                                          to.isDoubtful,
                                                          requestClassOf(*m_table, summary.key)};
                       const std::string_view bytes = packets.packet(index);
                       if (m_egress.tryPass(bytes.size() + usualHeaderBytes, now))
                           packets.forward(index, header, to.destination.to.packets);
                       else
                           enqueue(pacing::queued_datagram {summary, to.destination.to.packets,
                                                            datagramOf(header, bytes),
                                                            header.requestClass.priority},
                                   now);
                   },
                   [&](const refuse_caller &) {
                       ++m_unroutable;
                       refuseCaller(packets.packet(index), summary.key);
                   },
                   [&](const drop_packet &) { ++m_unroutable; },
               },
               decision);
    trackOpening(summary, decision, packets.packet(index), now);
    if (summary.opens || !std::holds_alternative<steer_to>(decision))
        internal::logSteering(summary, decision, m_table->at());
}

void entry_port::bufferEarlyPacket(std::string_view bytes, const packets::ip_summary &summary)
{
    // A retransmitted opening packet is not buffered beside the first one: when the table arrives,
    // the two would be sent to different agents at the same moment.
    const bool isCopy = summary.isRepeated && m_earlyPackets.holds(summary.key);
    if (!isCopy && !m_earlyPackets.put(summary.key, std::string(bytes), base::clock_time::steady()))
        ++m_unroutable;
}

void entry_port::routeEarlyPackets()
{
    if (m_earlyPackets.isEmpty())
        return;
    const base::clock_time now = base::clock_time::steady();
    const std::vector<std::string> early = m_earlyPackets.take(now);
    base::logEvent("routing", "early_packets",
                   {{"generation", std::to_string(m_table->at().value())},
                    {"packets", std::to_string(early.size())}});
    for (const std::string &bytes : early) {
        const base::result<packets::ip_summary> parsed
            = m_codec.summarize(bytes, packets::direction::fromCaller);
        if (!base::isOk(parsed))
            continue;
        const packets::ip_summary &summary = base::valueOf(parsed);
        carryOut(steer(*m_table, *m_bypass, m_hints, summary, now),
                 flows::forwarded_packet {base::service_id(), base::incarnation(),
                                          base::generation(), flows::packet_stage::toDirector, 0,
                                          summary, base::packet_bytes(bytes)});
    }
}

void entry_port::refuseCaller(std::string_view packet, const base::flow_key &key)
{
    const std::string reset = m_sockets.fabric ? m_codec.resetFor(packet) : std::string();
    if (reset.empty())
        return;
    ++m_resets;
    m_egress.charge(reset.size(), base::clock_time::steady());
    packets::sendDatagram(m_socket.get(), m_codec.towardsCaller(key, *m_sockets.fabric), reset);
}

void entry_port::receiveHints()
{
    while (const std::optional<std::string> bytes = packets::receiveDatagram(m_hintSocket.get())) {
        const base::result<flows::flow_datagram> decoded = flows::decodeDatagram(*bytes, m_codec);
        const flows::flow_datagram *datagram = std::get_if<flows::flow_datagram>(&decoded);
        if (datagram == nullptr)
            ++m_malformed;
        else
            std::visit(
                base::overloaded {
                    [this](const flows::peer_message &message) { takeHint(message); },
                    [this](const flows::forwarded_packet &packet) { handleUnknownFlow(packet); },
                },
                *datagram);
    }
}

void entry_port::takeHint(const flows::peer_message &message)
{
    const base::clock_time now = base::clock_time::steady();
    std::visit(
        base::overloaded {
            [&](const flows::owner_hint &hint) {
                m_hints.put(hint.key, flow_hint {hint.service, hint.owner, now});
                takeAnswer(hint.key, now);
            },
            [&](const flows::opening_hint &hint) {
                takeOpeningHint(m_hints, hint.key, flow_hint {hint.service, hint.owner, now});
                takeAnswer(hint.key, now);
            },
            [&](const flows::hint_withdrawn &withdrawn) {
                withdrawHint(m_hints, withdrawn.key, withdrawn.node);
            },
            // Meant for agents only.
            [this](const auto &) { ++m_malformed; },
        },
        message);
}

void entry_port::trackOpening(const packets::ip_summary &packet, const steering &decision,
                              std::string_view bytes, base::clock_time now)
{
    // Without hints, answered openings are not distinguishable from others.
    if (!m_sockets.hedging.isOn() || m_hintEndpoint.port == 0)
        return;
    const std::optional<request_traits> traits
        = packet.opens ? m_table->traitsOf(packet.key) : std::nullopt;
    if (!mayBeHedged(packet, decision, traits)) {
        m_hedging.handleCallersPacket(packet.key);
        return;
    }
    m_hedging.add(sent_opening {packet, base::packet_bytes(std::string(bytes)),
                                std::get<steer_to>(decision).destination, traits->targetLatency},
                  now);
    m_hedgesEvicted = m_hedging.evicted();
}

void entry_port::takeAnswer(const base::flow_key &key, base::clock_time now)
{
    if (const std::optional<base::clock_time> span = m_hedging.handleAnswer(key, now))
        m_openingAnswers.record(*span);
}

std::optional<base::clock_time> entry_port::sendDueHedges()
{
    const base::clock_time now = base::clock_time::steady();
    while (const std::optional<due_opening> due = m_hedging.takeDue(now))
        sendHedge(*due);
    return m_hedging.nextAt();
}

void entry_port::sendHedge(const due_opening &due)
{
    const sent_opening &opening = due.opening;
    const hedge_decision decision = m_hedging.decide(
        due,
        m_table->routeWithin(opening.destination.service, opening.summary.key, *m_bypass, true));
    std::visit(base::overloaded {
                   [&](const send_hedge &copy) {
                       ++m_hedged;
                       internal::logHedge(due, copy);
                       carryOut(steer_to {copy.destination, flows::packet_stage::toDirector, true},
                                flows::forwarded_packet {base::service_id(), base::incarnation(),
                                                         base::generation(),
                                                         flows::packet_stage::toDirector, 0,
                                                         opening.summary, opening.bytes});
                   },
                   [this](const skip_hedge &skipped) {
                       m_hedgesRefused += skipped.reason == hedge_obstacle::noBudget ? 1 : 0;
                   },
               },
               decision);
}

void entry_port::handleUnknownFlow(const flows::forwarded_packet &packet)
{
    const steering decision
        = steerToNextService(*m_table, *m_bypass, m_hints, packet.summary,
                             searched_service {packet.service, packet.at, packet.isDoubtful});
    carryOut(decision, packet);
}

void entry_port::carryOut(const steering &decision, const flows::forwarded_packet &packet)
{
    std::visit(
        base::overloaded {
            [&](const steer_to &to) {
                const flows::packet_header header {to.destination.service,
                                                   to.destination.to.incarnation,
                                                   to.destination.at,
                                                   to.stage,
                                                   0,
                                                   m_hintEndpoint,
                                                   {},
                                                   to.isDoubtful,
                                                   requestClassOf(*m_table, packet.summary.key)};
                sendPaced(packet.summary, to.destination.to.packets,
                          datagramOf(header, packet.bytes.view()));
            },
            [&](const refuse_caller &) { refuseCaller(packet.bytes.view(), packet.summary.key); },
            [&](const drop_packet &) { ++m_unroutable; },
        },
        decision);
    internal::logSteering(packet.summary, decision, m_table->at());
}

} // namespace lycheeshunt::routing
