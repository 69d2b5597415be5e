// The reusable buffers of one batch of packets at an entry: receives packets from a socket and
// forwards those that were routed, with one system call each and without allocation.
//
//     const std::size_t count = batch.receive(socket);
//     for (std::size_t i = 0; i < count; ++i)
//         batch.forward(i, header, to);
//     batch.send(socket);
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/flows/codec.h"
#include "lycheeshunt/flows/packet_header.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>

namespace lycheeshunt::routing::internal {

class packet_batch
{
public:
    static constexpr std::size_t capacity = 64;
    static constexpr std::size_t maxPacketBytes = 2048;

    packet_batch();

    packet_batch(const packet_batch &) = delete;
    packet_batch &operator=(const packet_batch &) = delete;

    // Never blocks. Returns the number of packets received.
    std::size_t receive(int socket);
    // The bytes of a received packet; empty when it was longer than maxPacketBytes.
    std::string_view packet(std::size_t index) const;
    // Queues a received packet with this header in front of it.
    void forward(std::size_t index, const flows::packet_header &header, const base::endpoint &to);
    // Queues a received packet without a header.
    void forwardBare(std::size_t index, const base::endpoint &to);
    // Sends the queued packets. Returns the number of packets that could not be sent; those are
    // dropped.
    std::size_t send(int socket);

private:
    struct slot
    {
        std::array<char, maxPacketBytes> bytes;
        std::array<char, flows::maxPacketHeaderBytes> header;
        std::array<iovec, 2> parts;
        iovec space;
        sockaddr_in to;
    };

    void queue(std::size_t index, std::size_t headerBytes, const base::endpoint &to);

    std::array<slot, capacity> m_slots;
    std::array<mmsghdr, capacity> m_incoming;
    std::array<mmsghdr, capacity> m_outgoing;
    std::size_t m_queued = 0;
};

} // namespace lycheeshunt::routing::internal
