// One TCP connection that carries one HTTP/2 stream of framed messages in each direction.
// A frame is a length of four bytes, most significant first, then that many bytes.
// Not thread-safe: only the stream thread that owns it uses it.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/file_descriptor.h"

#include <nghttp2/nghttp2.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::streams::internal {

enum class connection_side { client, server };

class h2_connection
{
public:
    h2_connection(base::file_descriptor socket, connection_side side, base::clock_time now);
    ~h2_connection();

    h2_connection(const h2_connection &) = delete;
    h2_connection &operator=(const h2_connection &) = delete;

    int descriptor() const { return m_socket.get(); }
    base::clock_time lastReceived() const { return m_lastReceived; }
    bool isEstablished() const { return m_streamId >= 0; }

    // Reads the available bytes and returns the complete frames. Sets `alive` to false when the
    // connection has ended or the peer violated the protocol.
    std::vector<std::string> receive(base::clock_time now, bool &alive);

    // Writes as much as the socket accepts without blocking. Returns false when the connection has
    // failed.
    bool flush();

    // True while encoded bytes wait for the socket to become writable.
    bool hasUnsentBytes() const { return m_unsentOffset < m_unsent.size(); }

    // Bytes queued by sendFrame that have not been passed to the HTTP/2 session.
    std::size_t queuedBytes() const { return m_sendBuffer.size() - m_sendBufferOffset; }

    // Bytes of TCP payload in each direction since the connection was opened.
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    std::uint64_t bytesSent() const { return m_bytesSent; }

    void sendFrame(std::string_view bytes);
    void sendPing();

    // Shuts down the sending side of the socket; bytes written before are still delivered.
    void shutdownSending();

private:
    struct callbacks;

    void openRequest();
    bool extractFrames(std::vector<std::string> &frames);

    base::file_descriptor m_socket;
    nghttp2_session *m_session = nullptr;
    base::clock_time m_lastReceived;
    std::int32_t m_streamId = -1;
    bool m_streamEnded = false;
    bool m_sendDeferred = false;
    std::string m_receiveBuffer;
    std::string m_sendBuffer;
    std::size_t m_sendBufferOffset = 0;
    std::string m_unsent;
    std::size_t m_unsentOffset = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace lycheeshunt::streams::internal
