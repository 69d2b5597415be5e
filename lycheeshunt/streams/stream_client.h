// Keeps one long-lived stream to one of several servers, on a thread of its own.
//
//     stream_client client({first, second}, {}, seed, sink);
//     client.outgoing().push(stream_frame {connection, channel::membership, bytes});
//
// The sink hears of each opening, frame and closing. When a server is lost or silent the next
// one is tried after a jittered wait. Frames for a connection that is gone are discarded; those
// queued before the client is destroyed are still sent where the socket takes them.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/streams/stream_event.h"
#include "lycheeshunt/streams/stream_timing.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

namespace lycheeshunt::streams {

namespace internal {
class h2_connection;
}

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

    // Tries these from now on; the present connection stays. The next attempt goes to the first one
    // or, without `startsAfresh`, to the one after the last that was tried. Thread-safe.
    void useServers(std::vector<base::endpoint> servers, bool startsAfresh);

    // Bytes of TCP payload in both directions since the client began. Thread-safe.
    std::uint64_t bytesCarried() const { return m_bytesCarried; }

private:
    void run();
    std::unique_ptr<internal::h2_connection> connectNext();
    base::endpoint nextServer();
    bool awaitConnected(int descriptor);
    void serve(internal::h2_connection &connection, connection_id id);
    void finish(internal::h2_connection &connection, connection_id id);
    bool sendQueued(internal::h2_connection &connection, connection_id id);
    void waitBeforeRetry();

    std::mutex m_serversLock;
    std::vector<base::endpoint> m_servers;
    const stream_timing m_timing;
    const stream_sink m_sink;
    base::ring<stream_frame> m_outgoing;
    std::mt19937_64 m_random;
    std::size_t m_nextServer = 0;
    // The next server was named as the one to go to.
    std::atomic<bool> m_isDirected = false;
    // Another one is tried before it is tried again.
    std::optional<base::endpoint> m_lastServer;
    std::uint64_t m_nextConnection = 1;
    std::atomic<std::uint64_t> m_bytesCarried = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::streams
