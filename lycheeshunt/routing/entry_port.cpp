#include "lycheeshunt/routing/entry_port.h"

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/flows/forwarded_packet.h"
#include "lycheeshunt/packets/ip_packet.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>

namespace lycheeshunt::routing {

namespace {

constexpr std::size_t batchSize = 64;
constexpr std::size_t maxPacketBytes = 2048;
constexpr std::size_t tableCapacity = 8;
constexpr int waitWithoutLimit = -1;

} // namespace

// Buffers for one batch; kept between batches.
struct entry_port::batch
{
    std::array<std::array<char, maxPacketBytes>, batchSize> bytes;
    std::array<iovec, batchSize> received;
    std::array<mmsghdr, batchSize> incoming;
    std::array<std::string, batchSize> headers;
    std::array<std::array<iovec, 2>, batchSize> parts;
    std::array<sockaddr_in, batchSize> targets;
    std::array<mmsghdr, batchSize> outgoing;
};

base::result<std::unique_ptr<entry_port>> entry_port::open(const base::endpoint &local)
{
    base::result<base::file_descriptor> socket = base::openDatagramSocket(local);
    if (const base::error *failure = base::errorOf(socket))
        return *failure;
    return std::unique_ptr<entry_port>(new entry_port(base::takeValue(std::move(socket))));
}

entry_port::entry_port(base::file_descriptor socket)
    : m_socket(std::move(socket)), m_tables(tableCapacity),
      m_table(std::make_shared<const routing_table>()), m_thread([this]() { run(); })
{
}

entry_port::~entry_port()
{
    m_tables.close();
    m_thread.join();
}

void entry_port::run()
{
    const std::unique_ptr<batch> packets = std::make_unique<batch>();
    while (!m_tables.isClosed()) {
        pollfd watched[] = {{m_socket.get(), POLLIN, 0}, {m_tables.descriptor(), POLLIN, 0}};
        ::poll(watched, std::size(watched), waitWithoutLimit);
        while (const std::optional<shared_table> newer = m_tables.tryPop()) {
            if ((*newer)->at() >= m_table->at())
                m_table = *newer;
        }
        if (watched[0].revents != 0)
            routeBatch(*packets);
    }
}

void entry_port::routeBatch(batch &packets)
{
    for (std::size_t i = 0; i < batchSize; ++i) {
        packets.received[i] = iovec {packets.bytes[i].data(), maxPacketBytes};
        packets.incoming[i] = mmsghdr {};
        packets.incoming[i].msg_hdr.msg_iov = &packets.received[i];
        packets.incoming[i].msg_hdr.msg_iovlen = 1;
    }
    const int count = ::recvmmsg(m_socket.get(), packets.incoming.data(), batchSize,
                                 MSG_DONTWAIT | MSG_TRUNC, nullptr);
    std::size_t used = 0;
    for (int i = 0; i < count; ++i) {
        const std::size_t length = packets.incoming[i].msg_len;
        const std::string_view bytes(packets.bytes[i].data(), std::min(length, maxPacketBytes));
        const base::result<packets::ip_summary> summary
            = packets::summarize(bytes, packets::direction::fromCaller);
        if (length > maxPacketBytes || !base::isOk(summary)) {
            ++m_malformed;
            continue;
        }
        const routing_outcome outcome = m_table->routeOf(base::valueOf(summary).key);
        const route *way = std::get_if<route>(&outcome);
        if (way == nullptr) {
            ++m_unroutable;
            continue;
        }
        const flows::forwarded_packet header {way->service,
                                              way->to.life,
                                              way->at,
                                              flows::packet_stage::toDirector,
                                              0,
                                              base::valueOf(summary),
                                              base::packet_bytes()};
        packets.headers[used] = flows::encodePacketHeader(header, bytes.size());
        packets.parts[used][0] = iovec {packets.headers[used].data(), packets.headers[used].size()};
        packets.parts[used][1] = iovec {packets.bytes[i].data(), bytes.size()};
        packets.targets[used] = base::toSocketAddress(way->to.packets);
        packets.outgoing[used] = mmsghdr {};
        packets.outgoing[used].msg_hdr.msg_iov = packets.parts[used].data();
        packets.outgoing[used].msg_hdr.msg_iovlen = 2;
        packets.outgoing[used].msg_hdr.msg_name = &packets.targets[used];
        packets.outgoing[used].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        ++used;
    }
    if (used > 0)
        ::sendmmsg(m_socket.get(), packets.outgoing.data(), static_cast<unsigned>(used),
                   MSG_NOSIGNAL);
}

} // namespace lycheeshunt::routing
