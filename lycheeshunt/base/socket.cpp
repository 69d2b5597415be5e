#include "lycheeshunt/base/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace lycheeshunt::base {

namespace {

constexpr int listenBacklog = 1024;
constexpr int datagramBufferBytes = 4 * 1024 * 1024;

error socketError(const char *operation, const endpoint &where)
{
    return error {error_code::socketFailed,
                  std::string(operation) + " " + where.text() + ": " + std::strerror(errno)};
}

void setOption(const file_descriptor &socket, int level, int name, int value)
{
    ::setsockopt(socket.get(), level, name, &value, sizeof value);
}

bool bindTo(const file_descriptor &socket, const endpoint &local)
{
    const sockaddr_in address = toSocketAddress(local);
    return ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
}

} // namespace

sockaddr_in toSocketAddress(const endpoint &where)
{
    sockaddr_in raw {};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(where.address);
    raw.sin_port = htons(where.port);
    return raw;
}

endpoint fromSocketAddress(const sockaddr_in &raw)
{
    return endpoint {ntohl(raw.sin_addr.s_addr), ntohs(raw.sin_port)};
}

endpoint localEndpoint(const file_descriptor &socket)
{
    sockaddr_in raw {};
    socklen_t length = sizeof raw;
    ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&raw), &length);
    return fromSocketAddress(raw);
}

result<file_descriptor> openDatagramSocket(const endpoint &local)
{
    file_descriptor socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        return socketError("socket for", local);
    setOption(socket, SOL_SOCKET, SO_RCVBUF, datagramBufferBytes);
    setOption(socket, SOL_SOCKET, SO_SNDBUF, datagramBufferBytes);
    if (!bindTo(socket, local))
        return socketError("bind to", local);
    return socket;
}

result<file_descriptor> openListener(const endpoint &local)
{
    file_descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        return socketError("socket for", local);
    setOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    if (!bindTo(socket, local))
        return socketError("bind to", local);
    if (::listen(socket.get(), listenBacklog) != 0)
        return socketError("listen on", local);
    return socket;
}

void sendWithoutDelay(const file_descriptor &socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

result<file_descriptor> startConnection(const endpoint &remote)
{
    file_descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.isOpen())
        return socketError("socket for", remote);
    sendWithoutDelay(socket);
    const sockaddr_in address = toSocketAddress(remote);
    const int status
        = ::connect(socket.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (status != 0 && errno != EINPROGRESS)
        return socketError("connect to", remote);
    return socket;
}

} // namespace lycheeshunt::base
