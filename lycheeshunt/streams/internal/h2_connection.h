// One TCP connection that carries one HTTP/2 stream of framed messages in each direction.
// A frame is a length of four bytes, most significant first, then that many bytes.
// Not thread-safe: the owning stream thread alone uses it.

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
    base::clock_time lastHeard() const { return m_lastHeard; }
    bool isEstablished() const { return m_streamId >= 0; }

    // Reads what has come and returns the whole frames in it; a false `alive` means that the
    // connection is over.
    std::vector<std::string> receive(base::clock_time now, bool &alive);

    // Writes what can be written now; false when the connection is over.
    bool flush();

    // True while bytes wait for the socket to become writable.
    bool wantsWrite() const { return m_unsentOffset < m_unsent.size(); }

    // Bytes queued by sendFrame that HTTP/2 has not taken yet.
    std::size_t queuedBytes() const { return m_outbox.size() - m_outboxOffset; }

    // Bytes of TCP payload in each direction since the connection began.
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    std::uint64_t bytesSent() const { return m_bytesSent; }

    void sendFrame(std::string_view bytes);
    void sendPing();

    // Ends this side; what was sent before still arrives.
    void endSending();

private:
    struct callbacks;

    void openRequest();
    bool takeFrames(std::vector<std::string> &frames);

    base::file_descriptor m_socket;
    nghttp2_session *m_session = nullptr;
    base::clock_time m_lastHeard;
    std::int32_t m_streamId = -1;
    bool m_streamEnded = false;
    bool m_deferred = false;
    std::string m_inbox;
    std::string m_outbox;
    std::size_t m_outboxOffset = 0;
    std::string m_unsent;
    std::size_t m_unsentOffset = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_bytesSent = 0;
};

} // namespace lycheeshunt::streams::internal
