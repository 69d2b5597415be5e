#include "lycheeshunt/packets/datagram_io.h"

#include "lycheeshunt/base/socket.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

namespace lycheeshunt::packets {

namespace {
constexpr std::size_t maxDatagramBytes = 65536;
}

std::optional<received_datagram> receiveDatagramFrom(int descriptor)
{
    thread_local std::array<char, maxDatagramBytes> buffer;
    sockaddr_in from {};
    socklen_t length = sizeof from;
    const ssize_t count = ::recvfrom(descriptor, buffer.data(), buffer.size(), 0,
                                     reinterpret_cast<sockaddr *>(&from), &length);
    if (count < 0)
        return std::nullopt;
    return received_datagram {base::fromSocketAddress(from),
                              std::string(buffer.data(), static_cast<std::size_t>(count))};
}

std::optional<std::string> receiveDatagram(int descriptor)
{
    const std::optional<received_datagram> received = receiveDatagramFrom(descriptor);
    return received ? std::optional<std::string>(received->bytes) : std::nullopt;
}

bool sendDatagram(int descriptor, const base::endpoint &to, std::string_view bytes)
{
    const sockaddr_in address = base::toSocketAddress(to);
    const ssize_t sent = ::sendto(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                                  reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return sent == static_cast<ssize_t>(bytes.size());
}

} // namespace lycheeshunt::packets
