// Accepts long-lived streams from other processes of the system, on a thread of its own.
//
//     result<std::unique_ptr<stream_server>> opened = stream_server::listen(local, {}, sink);
//     valueOf(opened)->outgoing().push(stream_frame {connection, channel::membership, bytes});
//
// Events go to the sink; frames to send are taken from the ring outgoing(). The client alone sends
// heartbeats, which the library answers, so that each side hears of the other at half the bytes; a
// connection that stays silent beyond the limit is closed.

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
    // A frame without bytes asks for its connection to be closed.
    // Connections taken since the start. Thread-safe.
    std::uint64_t accepted() const { return m_accepted; }

    base::ring<stream_frame> &outgoing() { return m_outgoing; }

private:
    stream_server(base::file_descriptor listener, const stream_timing &timing, stream_sink sink);

    void run();
    void acceptAll(base::clock_time now);
    void sendQueued();
    void serve(connection_id id, short ready, base::clock_time now);
    void checkSilence(base::clock_time now);
    void closeConnection(connection_id id);

    base::file_descriptor m_listener;
    const stream_timing m_timing;
    const stream_sink m_sink;
    base::ring<stream_frame> m_outgoing;
    std::map<connection_id, std::unique_ptr<internal::h2_connection>> m_connections;
    std::uint64_t m_nextConnection = 1;
    base::clock_time m_lastCheck;
    std::atomic<std::uint64_t> m_accepted = 0;
    std::thread m_thread;
};

} // namespace lycheeshunt::streams
