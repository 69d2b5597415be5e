// A client that may stay silent, for tests with thousands of them.

#pragma once

#include "lycheeshunt/base/socket.h"

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <string>
#include <vector>

namespace lycheeshunt::http {

class flood_client
{
public:
    explicit flood_client(const base::endpoint &server)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // Receiving ends after the time in which a request must be answered.
        constexpr timeval answerTimeout {1, 0};
        const sockaddr_in remote = base::toSocketAddress(server);
        ::setsockopt(m_socket.get(), SOL_SOCKET, SO_RCVTIMEO, &answerTimeout, sizeof answerTimeout);
        m_isConnected
            = ::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&remote), sizeof remote)
            == 0;
    }

    // Returns whether the connection took all bytes.
    bool send(const std::string &bytes) const
    {
        return m_isConnected
            && ::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL)
            == static_cast<ssize_t>(bytes.size());
    }

    // Returns the first bytes of an answer. Empty if the connection was closed or the time is up.
    std::string receive() const
    {
        char bytes[512] = {};
        const ssize_t count = ::recv(m_socket.get(), bytes, sizeof bytes, 0);
        return std::string(bytes, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }

    // Waits until the server closes the connection, at most as long as for an answer.
    bool isClosed() const
    {
        char byte = 0;
        const ssize_t count = ::recv(m_socket.get(), &byte, 1, 0);
        return count == 0 || (count < 0 && errno == ECONNRESET);
    }

private:
    base::file_descriptor m_socket;
    bool m_isConnected = false;
};

// Opens as many connections as the descriptor limit of the process allows, at most `count`.
inline std::vector<flood_client> openFlood(const base::endpoint &server, std::size_t count)
{
    // For the listener's own connections and the rest of the process.
    constexpr std::size_t otherDescriptors = 600;
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur
        = std::min(limit.rlim_max, std::max<rlim_t>(limit.rlim_cur, count + otherDescriptors));
    ::setrlimit(RLIMIT_NOFILE, &limit);
    const std::size_t fitting
        = static_cast<std::size_t>(std::max<rlim_t>(limit.rlim_cur, otherDescriptors))
        - otherDescriptors;
    if (fitting < count)
        std::printf("the descriptor limit allows %zu of %zu connections\n", fitting, count);
    std::vector<flood_client> clients;
    for (std::size_t index = 0; index < std::min(fitting, count); ++index)
        clients.emplace_back(server);
    return clients;
}

} // namespace lycheeshunt::http
