#include "lycheeshunt/streams/internal/h2_connection.h"

#include "lycheeshunt/streams/stream_server.h"

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/streams/internal/frame_codec.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <vector>

namespace lycheeshunt::streams {

namespace {
constexpr std::size_t outgoingFrames = 4096;
// A receiver that leaves this much unread is cut off; it comes back and starts afresh.
constexpr std::size_t maxQueuedBytes = 16 * 1024 * 1024;
} // namespace

base::result<std::unique_ptr<stream_server>>
stream_server::listen(const base::endpoint &local, const stream_timing &timing, stream_sink sink)
{
    base::result<base::file_descriptor> opened = base::openListener(local);
    if (const base::error *failure = base::errorOf(opened))
        return *failure;
    return std::unique_ptr<stream_server>(
        new stream_server(base::takeValue(std::move(opened)), timing, std::move(sink)));
}

stream_server::stream_server(base::file_descriptor listener, const stream_timing &timing,
                             stream_sink sink)
    : m_listener(std::move(listener)), m_timing(timing), m_sink(std::move(sink)),
      m_outgoing(outgoingFrames), m_thread([this]() { run(); })
{
}

stream_server::~stream_server()
{
    m_outgoing.close();
    m_thread.join();
}

base::endpoint stream_server::local() const
{
    return base::localEndpoint(m_listener);
}

void stream_server::run()
{
    std::vector<pollfd> watched;
    std::vector<connection_id> ids;
    while (!m_outgoing.isClosed()) {
        watched.assign({{m_listener.get(), POLLIN, 0}, {m_outgoing.descriptor(), POLLIN, 0}});
        ids.clear();
        for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
            const short interest = it->second->wantsWrite() ? POLLIN | POLLOUT : POLLIN;
            watched.push_back({it->second->descriptor(), interest, 0});
            ids.push_back(it->first);
        }
        ::poll(watched.data(), watched.size(), static_cast<int>(m_timing.pingEvery.millis()));
        const base::clock_time now = base::clock_time::steady();
        if (watched[0].revents != 0)
            acceptAll(now);
        if (watched[1].revents != 0)
            sendQueued();
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (watched[i + 2].revents != 0)
                serve(ids[i], watched[i + 2].revents, now);
        }
        if (now - m_lastCheck >= m_timing.pingEvery)
            checkSilence(now);
    }
}

void stream_server::acceptAll(base::clock_time now)
{
    while (true) {
        base::file_descriptor socket(
            ::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.isOpen())
            return;
        ++m_accepted;
        const connection_id id(m_nextConnection++);
        m_connections.emplace(id,
                              std::make_unique<internal::h2_connection>(
                                  std::move(socket), internal::connection_side::server, now));
        m_sink(stream_opened {id});
        serve(id, POLLOUT, now);
    }
}

void stream_server::sendQueued()
{
    while (std::optional<stream_frame> frame = m_outgoing.tryPop()) {
        const auto found = m_connections.find(frame->connection);
        if (found == m_connections.end())
            continue;
        if (frame->bytes.empty()) {
            closeConnection(frame->connection);
            continue;
        }
        found->second->sendFrame(internal::frameText(*frame));
        if (found->second->queuedBytes() > maxQueuedBytes || !found->second->flush())
            closeConnection(frame->connection);
    }
}

void stream_server::serve(connection_id id, short ready, base::clock_time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    bool alive = true;
    if ((ready & ~POLLOUT) != 0) {
        const std::vector<std::string> frames = found->second->receive(now, alive);
        for (const std::string &text : frames)
            m_sink(internal::frameFromText(id, text));
    }
    if (!alive || !found->second->flush())
        closeConnection(id);
}

void stream_server::checkSilence(base::clock_time now)
{
    m_lastCheck = now;
    std::vector<connection_id> silent;
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        if (now - it->second->lastHeard() > m_timing.silenceLimit)
            silent.push_back(it->first);
    }
    for (const connection_id &id : silent)
        closeConnection(id);
}

void stream_server::closeConnection(connection_id id)
{
    if (m_connections.erase(id) > 0)
        m_sink(stream_closed {id});
}

} // namespace lycheeshunt::streams
