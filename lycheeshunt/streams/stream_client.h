// Maintains one long-lived stream to one of several servers, on a dedicated thread.
//
//     stream_client client({first, second}, {}, seed, sink);
//     client.outgoing().push(stream_frame {connection, channel::membership, bytes});
//
// The sink receives an event for each opened connection, received frame and closed connection. When
// a connection fails or times out, the client tries the servers in turn after a jittered delay,
// several at a time if they do not reply, and uses the first that accepts. Frames
// for a closed connection are discarded. Frames queued before the client is destroyed are still
// sent as far as the socket accepts them without blocking.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/streams/stream_event.h"
#include "lycheeshunt/streams/stream_timing.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

namespace lycheeshunt::streams {

namespace internal {
class h2_connection;
struct connect_attempt;
} // namespace internal

class stream_client
{
public:
    // Precondition: servers is not empty.
    stream_client(std::vector<base::endpoint> servers, const stream_timing &timing,
                  std::uint64_t seed, stream_sink sink);
    ~stream_client();

    stream_client(const stream_client &) = delete;
    stream_client &operator=(const stream_client &) = delete;

    base::ring<stream_frame> &outgoing() { return m_outgoing; }

    // Replaces the servers for later attempts; the current connection stays open. The next attempt
    // goes to the first server or, without `startsAtFirst`, to the one after the server tried last.
    // Thread-safe.
    void useServers(std::vector<base::endpoint> servers, bool startsAtFirst);

    // Bytes of TCP payload in both directions since the client was created. Thread-safe.
    std::uint64_t bytesCarried() const { return m_bytesCarried; }

private:
    void run();
    std::unique_ptr<internal::h2_connection> connectNext();
    base::endpoint nextServer();
    std::size_t serverCount();
    void takeServer(const base::endpoint &server);
    void awaitChange(const std::list<internal::connect_attempt> &attempts, base::clock_time until);
    void serve(internal::h2_connection &connection, connection_id id);
    void closeGracefully(internal::h2_connection &connection, connection_id id);
    bool sendQueued(internal::h2_connection &connection, connection_id id);
    base::clock_time reconnectDelay();
    void waitBeforeRetry();

    std::mutex m_serversLock;
    std::vector<base::endpoint> m_servers;
    const stream_timing m_timing;
    const stream_sink m_sink;
    base::ring<stream_frame> m_outgoing;
    std::mt19937_64 m_random;
    std::size_t m_nextServer = 0;
    // The next attempt goes to a server that another server referred the client to.
    std::atomic<bool> m_isRedirected = false;
    // The server tried last. Another one is tried before it is tried again.
    std::optional<base::endpoint> m_lastServer;
    std::uint64_t m_nextConnection = 1;
    std::atomic<std::uint64_t> m_bytesCarried = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::streams
