#include "lycheeshunt/routing/entry_port.h"

#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/internal/packet_batch.h"

#include <poll.h>

namespace lycheeshunt::routing {

namespace {

constexpr std::size_t updateCapacity = 8;
constexpr int waitWithoutLimit = -1;

} // namespace

base::result<std::unique_ptr<entry_port>> entry_port::open(const base::endpoint &local)
{
    base::result<base::file_descriptor> socket = base::openDatagramSocket(local);
    if (const base::error *failure = base::errorOf(socket))
        return *failure;
    return std::unique_ptr<entry_port>(new entry_port(base::takeValue(std::move(socket))));
}

entry_port::entry_port(base::file_descriptor socket)
    : m_socket(std::move(socket)), m_updates(updateCapacity),
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
        pollfd watched[] = {{m_socket.get(), POLLIN, 0}, {m_updates.descriptor(), POLLIN, 0}};
        ::poll(watched, std::size(watched), waitWithoutLimit);
        while (const std::optional<entry_update> update = m_updates.tryPop())
            takeUpdate(*update);
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
    const base::result<packets::ip_summary> summary
        = packets::summarize(packets.packet(index), packets::direction::fromCaller);
    if (!base::isOk(summary)) {
        ++m_malformed;
        return;
    }
    const routing_outcome outcome = m_table->routeOf(base::valueOf(summary).key, *m_bypass);
    const route *way = std::get_if<route>(&outcome);
    if (way == nullptr) {
        ++m_unroutable;
        return;
    }
    const flows::packet_header header {way->service, way->to.life, way->at,
                                       flows::packet_stage::toDirector, 0};
    packets.forward(index, header, way->to.packets);
}

} // namespace lycheeshunt::routing
