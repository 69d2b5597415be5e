// A client whose request arrives while a listener is being opened. It tries to connect each time
// the thread that created it allocates memory, and once connected holds that thread until it has
// its answer. What this thread does after the listener accepts connections comes later than the
// request.
//
//     early_client client(local, "/v1/status");
//     const result<std::unique_ptr<http_listener>> opened = http_listener::open(local, ...);
//     STRCMP_CONTAINS("HTTP/1.1 200", client.answer().c_str());
//
// The test program must be built with LYCHEESHUNT_HTTP_THREADS.

#pragma once

#include "lycheeshunt/base/socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <string>
#include <utility>

#include <CppUTest/PlatformSpecificFunctions_c.h>

namespace lycheeshunt::http {

class early_client
{
public:
    early_client(const base::endpoint &server, const std::string &path)
        : m_server(server), m_request("GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n")
    {
        current = this;
    }
    ~early_client() { current = nullptr; }

    early_client(const early_client &) = delete;
    early_client &operator=(const early_client &) = delete;

    // The response's status line and headers. Empty if the listener did not accept connections.
    const std::string &answer() const { return m_answer; }

private:
    using allocator = void *(*)(std::size_t);

    static void *connectAndAllocate(std::size_t size)
    {
        // The client's own allocations start no further attempt.
        if (early_client *client = std::exchange(current, nullptr))
            current = client->sendRequest() ? nullptr : client;
        return allocate(size);
    }

    // Returns whether the request was sent.
    bool sendRequest()
    {
        constexpr std::uint32_t ownAddress = 0x7f000002;
        constexpr time_t answerSeconds = 5;
        const base::file_descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        // With an address of its own, the client can't connect to itself.
        const sockaddr_in own = base::toSocketAddress(base::endpoint {ownAddress, 0});
        const sockaddr_in remote = base::toSocketAddress(m_server);
        const timeval timeout {answerSeconds, 0};
        ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        const bool isConnected
            = ::bind(socket.get(), reinterpret_cast<const sockaddr *>(&own), sizeof own) == 0
            && ::connect(socket.get(), reinterpret_cast<const sockaddr *>(&remote), sizeof remote)
                == 0;
        if (!isConnected)
            return false;
        ::send(socket.get(), m_request.data(), m_request.size(), MSG_NOSIGNAL);
        char bytes[512] = {};
        const ssize_t count = ::recv(socket.get(), bytes, sizeof bytes, 0);
        m_answer = count > 0 ? std::string(bytes, static_cast<std::size_t>(count)) : "no answer";
        return true;
    }

    static allocator install()
    {
        return std::exchange(PlatformSpecificMalloc, &early_client::connectAndAllocate);
    }

    // Null on threads that open no listener.
    static inline thread_local early_client *current = nullptr;
    // Replaced before any thread starts, and not put back: threads of the library outlive a test.
    static inline const allocator allocate = install();

    const base::endpoint m_server;
    const std::string m_request;
    std::string m_answer;
};

} // namespace lycheeshunt::http
