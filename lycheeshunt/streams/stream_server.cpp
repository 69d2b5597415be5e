#include "lycheeshunt/streams/internal/h2_connection.h"

#include "lycheeshunt/streams/stream_server.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/streams/internal/frame_codec.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <vector>

namespace lycheeshunt::streams {

namespace {
constexpr std::size_t maxOutgoingFrames = 4096;
// A client that leaves this much unread is disconnected; it reconnects with an empty queue.
constexpr std::size_t maxQueuedBytes = 16 * 1024 * 1024;
// After a failed accept(), for example when no descriptors are left.
constexpr base::clock_time acceptPause = base::clock_time::ofMillis(200);
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
      m_outgoing(maxOutgoingFrames), m_thread([this]() { run(); })
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
        // poll() ignores descriptors below 0.
        const bool isAccepting = base::clock_time::steady() >= m_acceptAgainAt;
        watched.assign({{isAccepting ? m_listener.get() : -1, POLLIN, 0},
                        {m_outgoing.descriptor(), POLLIN, 0}});
        ids.clear();
        for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
            const short interest = it->second->hasUnsentBytes() ? POLLIN | POLLOUT : POLLIN;
            watched.push_back({it->second->descriptor(), interest, 0});
            ids.push_back(it->first);
        }
        ::poll(watched.data(), watched.size(), static_cast<int>(m_timing.pingInterval.millis()));
        const base::clock_time now = base::clock_time::steady();
        if (watched[0].revents != 0)
            base::runGuarded("streams", [&]() { acceptAll(now); });
        if (watched[1].revents != 0)
            base::runGuarded("streams", [this]() { sendQueued(); });
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (watched[i + 2].revents != 0)
                serveGuarded(ids[i], watched[i + 2].revents, now);
        }
        if (now - m_lastIdleCheck >= m_timing.pingInterval)
            closeIdleConnections(now);
    }
}

void stream_server::acceptAll(base::clock_time now)
{
    while (true) {
        base::file_descriptor socket(
            ::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.isOpen()) {
            const int reason = errno;
            if (reason != EAGAIN && reason != ECONNABORTED && reason != EINTR)
                pauseAccepting(reason, now);
            return;
        }
        base::sendWithoutDelay(socket);
        ++m_accepted;
        const connection_id id(m_nextConnection++);
        m_connections.emplace(id,
                              std::make_unique<internal::h2_connection>(
                                  std::move(socket), internal::connection_side::server, now));
        m_sink(stream_opened {id});
        serve(id, POLLOUT, now);
    }
}

// The connection stays in the queue, so that poll() would return at once.
void stream_server::pauseAccepting(int reason, base::clock_time now)
{
    m_acceptAgainAt = now + acceptPause;
    base::logEvent(
        "streams", "accept_failed",
        {{"errno", std::to_string(reason)}, {"connections", std::to_string(m_connections.size())}});
}

// A fault ends the connection that caused it.
void stream_server::serveGuarded(connection_id id, short readyEvents, base::clock_time now)
{
    const std::optional<base::error> fault = base::faultOf([&]() { serve(id, readyEvents, now); });
    base::reportFault("streams", fault);
    if (fault)
        closeConnection(id);
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
        found->second->sendFrame(internal::encodeFrame(*frame));
        const bool isOverfull = found->second->queuedBytes() > maxQueuedBytes;
        if (isOverfull)
            base::logEvent(
                "streams", "closed",
                {{"connection", std::to_string(frame->connection.value())}, {"reason", "unread"}});
        if (isOverfull || !found->second->flush())
            closeConnection(frame->connection);
    }
}

void stream_server::serve(connection_id id, short readyEvents, base::clock_time now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    bool alive = true;
    if ((readyEvents & ~POLLOUT) != 0) {
        const std::vector<std::string> frames = found->second->receive(now, alive);
        for (const std::string &content : frames)
            m_sink(internal::decodeFrame(id, content));
    }
    if (!alive || !found->second->flush())
        closeConnection(id);
}

void stream_server::closeIdleConnections(base::clock_time now)
{
    m_lastIdleCheck = now;
    std::vector<connection_id> idle;
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        if (now - it->second->lastReceived() > m_timing.idleTimeout)
            idle.push_back(it->first);
    }
    for (const connection_id &id : idle) {
        base::logEvent("streams", "closed",
                       {{"connection", std::to_string(id.value())}, {"reason", "idle"}});
        closeConnection(id);
    }
}

void stream_server::closeConnection(connection_id id)
{
    if (m_connections.erase(id) > 0)
        m_sink(stream_closed {id});
}

} // namespace lycheeshunt::streams
