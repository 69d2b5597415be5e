// Accepts long-lived streams from other processes of the system, on a dedicated thread.
//
//     result<std::unique_ptr<stream_server>> opened = stream_server::listen(local, {}, sink);
//     valueOf(opened)->outgoing().push(stream_frame {connection, channel::membership, bytes});
//
// Events go to the sink; frames to send are popped from the ring outgoing(). Only the client sends
// heartbeats (HTTP/2 pings), which the HTTP/2 library acknowledges: each side hears from the other
// at half the bytes of heartbeats in both directions. A connection that receives nothing within the
// idle timeout is closed.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/base/file_descriptor.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/streams/stream_event.h"
#include "lycheeshunt/streams/stream_timing.h"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace lycheeshunt::streams {

namespace internal {
class h2_connection;
}

class stream_server
{
public:
    static base::result<std::unique_ptr<stream_server>>
    listen(const base::endpoint &local, const stream_timing &timing, stream_sink sink);

    // Stops the thread and closes every connection.
    ~stream_server();

    stream_server(const stream_server &) = delete;
    stream_server &operator=(const stream_server &) = delete;

    base::endpoint local() const;
    // Number of connections accepted since the server was created. Thread-safe.
    std::uint64_t accepted() const { return m_accepted; }

    // A frame without bytes closes its connection.
    base::ring<stream_frame> &outgoing() { return m_outgoing; }

private:
    stream_server(base::file_descriptor listener, const stream_timing &timing, stream_sink sink);

    void run();
    void acceptAll(base::clock_time now);
    void sendQueued();
    void pauseAccepting(int reason, base::clock_time now);
    void serveGuarded(connection_id id, short readyEvents, base::clock_time now);
    void serve(connection_id id, short readyEvents, base::clock_time now);
    void closeIdleConnections(base::clock_time now);
    void closeConnection(connection_id id);

    base::file_descriptor m_listener;
    const stream_timing m_timing;
    const stream_sink m_sink;
    base::ring<stream_frame> m_outgoing;
    std::map<connection_id, std::unique_ptr<internal::h2_connection>> m_connections;
    std::uint64_t m_nextConnection = 1;
    base::clock_time m_lastIdleCheck;
    base::clock_time m_acceptAgainAt;
    std::atomic<std::uint64_t> m_accepted = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::streams
