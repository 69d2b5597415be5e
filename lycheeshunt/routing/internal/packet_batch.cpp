#include "lycheeshunt/routing/internal/packet_batch.h"

#include "lycheeshunt/base/socket.h"

#include <cerrno>

namespace lycheeshunt::routing::internal {

packet_batch::packet_batch() : m_slots(), m_incoming(), m_outgoing()
{
    for (std::size_t i = 0; i < capacity; ++i) {
        m_slots[i].space = iovec {m_slots[i].bytes.data(), maxPacketBytes};
        m_incoming[i].msg_hdr.msg_iov = &m_slots[i].space;
        m_incoming[i].msg_hdr.msg_iovlen = 1;
        m_outgoing[i].msg_hdr.msg_iovlen = m_slots[i].parts.size();
        m_outgoing[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

std::size_t packet_batch::receive(int socket)
{
    const int count
        = ::recvmmsg(socket, m_incoming.data(), capacity, MSG_DONTWAIT | MSG_TRUNC, nullptr);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

std::string_view packet_batch::packet(std::size_t index) const
{
    const std::size_t length = m_incoming[index].msg_len;
    if (length > maxPacketBytes)
        return {};
    return std::string_view(m_slots[index].bytes.data(), length);
}

void packet_batch::forward(std::size_t index, const flows::packet_header &header,
                           const base::endpoint &to)
{
    queue(index, flows::writePacketHeader(header, packet(index).size(), m_slots[index].header), to);
}

void packet_batch::forwardBare(std::size_t index, const base::endpoint &to)
{
    queue(index, 0, to);
}

void packet_batch::queue(std::size_t index, std::size_t headerBytes, const base::endpoint &to)
{
    slot &used = m_slots[index];
    used.parts = {iovec {used.header.data(), headerBytes},
                  iovec {used.bytes.data(), packet(index).size()}};
    used.to = base::toSocketAddress(to);
    m_outgoing[m_queued].msg_hdr.msg_iov = used.parts.data();
    m_outgoing[m_queued].msg_hdr.msg_name = &used.to;
    ++m_queued;
}

std::size_t packet_batch::send(int socket)
{
    std::size_t dropped = 0;
    std::size_t next = 0;
    while (next < m_queued) {
        const int sent = ::sendmmsg(socket, m_outgoing.data() + next,
                                    static_cast<unsigned>(m_queued - next), MSG_NOSIGNAL);
        if (sent > 0) {
            next += static_cast<std::size_t>(sent);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            // The socket's send buffer is full, for this packet and for those after it.
            dropped += m_queued - next;
            break;
        } else if (errno != EINTR) {
            // A packet that can't be sent must not block the others.
            ++dropped;
            ++next;
        }
    }
    m_queued = 0;
    return dropped;
}

} // namespace lycheeshunt::routing::internal
