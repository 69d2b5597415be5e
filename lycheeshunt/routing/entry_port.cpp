#include "lycheeshunt/routing/entry_port.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/internal/packet_batch.h"
#include "lycheeshunt/routing/steering.h"

#include <poll.h>

namespace lycheeshunt::routing {

namespace {

constexpr std::size_t updateCapacity = 8;
constexpr int waitWithoutLimit = -1;

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
      m_hintsAt(hintSocket.isOpen() ? base::localEndpoint(hintSocket) : base::endpoint {}),
      m_socket(std::move(socket)), m_hintSocket(std::move(hintSocket)), m_updates(updateCapacity),
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
    while (!m_updates.isClosed()) {
        // A descriptor below 0 is left out by poll.
        pollfd watched[] = {{m_socket.get(), POLLIN, 0},
                            {m_updates.descriptor(), POLLIN, 0},
                            {m_hintSocket.get(), POLLIN, 0}};
        ::poll(watched, std::size(watched), waitWithoutLimit);
        while (const std::optional<entry_update> update = m_updates.tryPop())
            takeUpdate(*update);
        if (watched[2].revents != 0)
            receiveHints();
        if (watched[0].revents != 0)
            routeBatch(*packets);
    }
}

void entry_port::takeUpdate(const entry_update &update)
{
    std::visit(base::overloaded {
                   [this](const shared_table &table) {
                       if (table->at() >= m_table->at())
                           m_table = table;
                       m_isReady = true;
                       routeEarly();
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

void entry_port::routePacket(internal::packet_batch &packets, std::size_t index)
{
    const base::result<packets::ip_summary> read
        = m_codec.summarize(packets.packet(index), packets::direction::fromCaller);
    if (!base::isOk(read)) {
        ++m_malformed;
        return;
    }
    const packets::ip_summary &summary = base::valueOf(read);
    if (!m_isReady) {
        holdEarly(packets.packet(index), summary);
        return;
    }
    const steering way = steer(*m_table, *m_bypass, m_hints, summary, base::clock_time::steady());
    std::visit(base::overloaded {
                   [&](const steer_to &to) {
                       m_hinted += to.stage == flows::packet_stage::toOwner ? 1 : 0;
                       const flows::packet_header header {
                           to.way.service, to.way.to.incarnation, to.way.at, to.stage, 0,
                           m_hintsAt};
                       packets.forward(index, header, to.way.to.packets);
                   },
                   [&](const refuse_caller &) {
                       ++m_unroutable;
                       refuseCaller(packets.packet(index), summary.key);
                   },
                   [&](const drop_packet &) { ++m_unroutable; },
               },
               way);
    if (summary.opens || !std::holds_alternative<steer_to>(way))
        logSteering(summary, way);
}

void entry_port::holdEarly(std::string_view bytes, const packets::ip_summary &summary)
{
    // Copies of an opening packet would be sent to different agents at the same moment.
    const bool isCopy = summary.isRepeated && m_early.holds(summary.key);
    if (!isCopy && !m_early.put(summary.key, std::string(bytes), base::clock_time::steady()))
        ++m_unroutable;
}

void entry_port::routeEarly()
{
    if (m_early.isEmpty())
        return;
    const base::clock_time now = base::clock_time::steady();
    const std::vector<std::string> early = m_early.take(now);
    base::logEvent("routing", "early_packets",
                   {{"generation", std::to_string(m_table->at().value())},
                    {"packets", std::to_string(early.size())}});
    for (const std::string &bytes : early) {
        const base::result<packets::ip_summary> read
            = m_codec.summarize(bytes, packets::direction::fromCaller);
        if (!base::isOk(read))
            continue;
        const packets::ip_summary &summary = base::valueOf(read);
        carryOut(steer(*m_table, *m_bypass, m_hints, summary, now),
                 flows::forwarded_packet {base::service_id(), base::incarnation(),
                                          base::generation(), flows::packet_stage::toDirector, 0,
                                          summary, base::packet_bytes(bytes)});
    }
}

void entry_port::logSteering(const packets::ip_summary &packet, const steering &way) const
{
    const std::string generation = std::to_string(m_table->at().value());
    std::visit(base::overloaded {
                   [&](const steer_to &to) {
                       base::logEvent(
                           "routing", "steered",
                           {{"flow", packet.key.text()},
                            {"generation", generation},
                            {"to", to.way.to.packets.text()},
                            {"by", to.stage == flows::packet_stage::toOwner ? "hint" : "director"},
                            {"copy", packet.isRepeated ? "yes" : "no"}});
                   },
                   [&](const refuse_caller &refused) {
                       base::logEvent("routing", "refused",
                                      {{"flow", packet.key.text()},
                                       {"generation", generation},
                                       {"code", std::to_string(static_cast<int>(refused.reason))}});
                   },
                   [&](const drop_packet &dropped) {
                       base::logEvent("routing", "dropped",
                                      {{"flow", packet.key.text()},
                                       {"generation", generation},
                                       {"code", std::to_string(static_cast<int>(dropped.reason))}});
                   },
               },
               way);
}

void entry_port::refuseCaller(std::string_view packet, const base::flow_key &key)
{
    const std::string reset = m_sockets.fabric ? m_codec.resetFor(packet) : std::string();
    if (reset.empty())
        return;
    ++m_resets;
    packets::sendDatagram(m_socket.get(), m_codec.towardsCaller(key, *m_sockets.fabric), reset);
}

void entry_port::receiveHints()
{
    while (const std::optional<std::string> bytes = packets::receiveDatagram(m_hintSocket.get())) {
        const base::result<flows::flow_datagram> decoded = flows::decodeDatagram(*bytes, m_codec);
        const flows::flow_datagram *datagram = std::get_if<flows::flow_datagram>(&decoded);
        const flows::peer_message *said
            = datagram == nullptr ? nullptr : std::get_if<flows::peer_message>(datagram);
        const flows::owner_hint *hint
            = said == nullptr ? nullptr : std::get_if<flows::owner_hint>(said);
        if (hint != nullptr)
            m_hints.put(hint->key,
                        flow_hint {hint->service, hint->owner, base::clock_time::steady()});
        else if (datagram != nullptr && std::holds_alternative<flows::forwarded_packet>(*datagram))
            takeUnknown(std::get<flows::forwarded_packet>(*datagram));
        else
            ++m_malformed;
    }
}

void entry_port::takeUnknown(const flows::forwarded_packet &packet)
{
    const steering way = steerAfterUnknown(*m_table, *m_bypass, m_hints, packet.summary,
                                           packet.service, packet.isDoubtful);
    carryOut(way, packet);
}

void entry_port::carryOut(const steering &way, const flows::forwarded_packet &packet)
{
    std::visit(
        base::overloaded {
            [&](const steer_to &to) {
                packets::sendDatagram(
                    m_socket.get(), to.way.to.packets,
                    flows::encodePacket(flows::forwarded_packet {to.way.service,
                                                                 to.way.to.incarnation,
                                                                 to.way.at,
                                                                 to.stage,
                                                                 0,
                                                                 packet.summary,
                                                                 packet.bytes,
                                                                 m_hintsAt,
                                                                 {},
                                                                 packet.isDoubtful}));
            },
            [&](const refuse_caller &) { refuseCaller(packet.bytes.view(), packet.summary.key); },
            [&](const drop_packet &) { ++m_unroutable; },
        },
        way);
    logSteering(packet.summary, way);
}

} // namespace lycheeshunt::routing
