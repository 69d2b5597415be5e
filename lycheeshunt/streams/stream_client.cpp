#include "lycheeshunt/streams/internal/h2_connection.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/streams/stream_client.h"

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/streams/internal/connect_attempt.h"
#include "lycheeshunt/streams/internal/connect_schedule.h"
#include "lycheeshunt/streams/internal/frame_codec.h"

#include <poll.h>

#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <list>

namespace lycheeshunt::streams {

namespace {

constexpr std::size_t maxOutgoingFrames = 4096;

enum class attempt_result : std::uint8_t { underWay, connected, refused };

attempt_result resultOf(int descriptor)
{
    pollfd watched {descriptor, POLLOUT, 0};
    if (::poll(&watched, 1, 0) <= 0)
        return attempt_result::underWay;
    int failure = 0;
    socklen_t length = sizeof failure;
    const bool isConnected = (watched.revents & POLLOUT) != 0
        && ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length) == 0 && failure == 0;
    return isConnected ? attempt_result::connected : attempt_result::refused;
}

} // namespace

stream_client::stream_client(std::vector<base::endpoint> servers, const stream_timing &timing,
                             std::uint64_t seed, stream_sink sink)
    : m_servers(std::move(servers)), m_timing(timing), m_sink(std::move(sink)),
      m_outgoing(maxOutgoingFrames), m_random(seed), m_nextServer(m_random() % m_servers.size()),
      m_thread([this]() { run(); })
{
}

stream_client::~stream_client()
{
    m_outgoing.close();
    m_thread.join();
}

void stream_client::run()
{
    while (!m_outgoing.isClosed()) {
        base::runGuarded("streams", [this]() {
            const std::unique_ptr<internal::h2_connection> connection = connectNext();
            if (!connection)
                return;
            const connection_id id(m_nextConnection++);
            m_sink(stream_opened {id});
            base::runGuarded("streams", [&]() { serve(*connection, id); });
            m_sink(stream_closed {id});
        });
        waitBeforeRetry();
    }
}

void stream_client::useServers(std::vector<base::endpoint> servers, bool startsAtFirst)
{
    const std::lock_guard<std::mutex> lock(m_serversLock);
    m_servers = std::move(servers);
    m_nextServer = 0;
    m_isRedirected = startsAtFirst;
    if (startsAtFirst || !m_lastServer)
        return;
    const auto last = std::find(m_servers.begin(), m_servers.end(), *m_lastServer);
    if (last != m_servers.end())
        m_nextServer = static_cast<std::size_t>(last - m_servers.begin()) + 1;
}

base::endpoint stream_client::nextServer()
{
    const std::lock_guard<std::mutex> lock(m_serversLock);
    std::size_t chosen = m_nextServer % m_servers.size();
    if (m_servers.size() > 1 && m_lastServer && m_servers[chosen] == *m_lastServer)
        chosen = (chosen + 1) % m_servers.size();
    m_nextServer = chosen + 1;
    m_lastServer.reset();
    m_lastServer.emplace(m_servers[chosen]);
    return m_servers[chosen];
}

std::size_t stream_client::serverCount()
{
    const std::lock_guard<std::mutex> lock(m_serversLock);
    return m_servers.size();
}

// Waits until an attempt has ended, or the client stops. Discards frames queued for the previous
// connection.
void stream_client::awaitChange(const std::list<internal::connect_attempt> &attempts,
                                base::clock_time until)
{
    std::vector<pollfd> watched {{m_outgoing.descriptor(), POLLIN, 0}};
    for (const internal::connect_attempt &attempt : attempts)
        watched.push_back(pollfd {attempt.socket.get(), POLLOUT, 0});
    const base::clock_time timeout
        = std::max(until - base::clock_time::steady(), base::clock_time());
    ::poll(watched.data(), watched.size(), static_cast<int>(timeout.millis()));
    m_outgoing.tryPop();
}

std::unique_ptr<internal::h2_connection> stream_client::connectNext()
{
    internal::connect_schedule schedule(serverCount(), m_timing, reconnectDelay());
    std::list<internal::connect_attempt> attempts;
    base::clock_time now = base::clock_time::steady();
    while (!m_outgoing.isClosed()) {
        if (schedule.mayStart(now)) {
            const base::endpoint server = nextServer();
            base::result<base::file_descriptor> started = base::startConnection(server);
            schedule.addStart(now);
            if (base::isOk(started))
                attempts.push_back(
                    internal::connect_attempt {base::takeValue(std::move(started)), server, now});
            else
                schedule.addRefusal(now);
        }
        base::clock_time until = schedule.nextStart(now).value_or(now + m_timing.connectTimeout);
        for (const internal::connect_attempt &attempt : attempts)
            until = std::min(until, attempt.startedAt + m_timing.connectTimeout);
        awaitChange(attempts, until);
        now = base::clock_time::steady();
        for (auto it = attempts.begin(); it != attempts.end();) {
            const attempt_result result = resultOf(it->socket.get());
            const bool isTimedOut = now - it->startedAt >= m_timing.connectTimeout;
            if (result == attempt_result::connected) {
                takeServer(it->server);
                return std::make_unique<internal::h2_connection>(
                    std::move(it->socket), internal::connection_side::client, now);
            }
            if (result == attempt_result::refused)
                schedule.addRefusal(now);
            else if (isTimedOut)
                schedule.addTimeout();
            const bool isOver = result == attempt_result::refused || isTimedOut;
            it = isOver ? attempts.erase(it) : std::next(it);
        }
    }
    return nullptr;
}

// The server that the client uses is tried last after the connection ends.
void stream_client::takeServer(const base::endpoint &server)
{
    const std::lock_guard<std::mutex> lock(m_serversLock);
    m_lastServer.reset();
    m_lastServer.emplace(server);
}

void stream_client::serve(internal::h2_connection &connection, connection_id id)
{
    base::clock_time lastPing = base::clock_time::steady();
    const std::uint64_t bytesCarriedBefore = m_bytesCarried;
    bool alive = connection.flush();
    while (alive && !m_outgoing.isClosed()) {
        const short interest = connection.hasUnsentBytes() ? POLLIN | POLLOUT : POLLIN;
        pollfd watched[]
            = {{connection.descriptor(), interest, 0}, {m_outgoing.descriptor(), POLLIN, 0}};
        ::poll(watched, std::size(watched), static_cast<int>(m_timing.pingInterval.millis()));
        const base::clock_time now = base::clock_time::steady();
        if ((watched[0].revents & ~POLLOUT) != 0) {
            const std::vector<std::string> frames = connection.receive(now, alive);
            for (const std::string &content : frames)
                m_sink(internal::decodeFrame(id, content));
        }
        if (now - lastPing >= m_timing.pingInterval) {
            lastPing = now;
            connection.sendPing();
        }
        const base::clock_time timeout
            = connection.bytesReceived() > 0 ? m_timing.idleTimeout : m_timing.firstReceiveTimeout;
        alive = alive && sendQueued(connection, id) && now - connection.lastReceived() <= timeout;
        m_bytesCarried = bytesCarriedBefore + connection.bytesReceived() + connection.bytesSent();
    }
    if (alive)
        closeGracefully(connection, id);
}

// Sends the frames that were queued before the stop, then waits until the server closes the
// connection, at most for the reconnect delay. Closing the socket with unread bytes from the server
// would reset the connection and lose the data in flight.
void stream_client::closeGracefully(internal::h2_connection &connection, connection_id id)
{
    bool alive = sendQueued(connection, id);
    connection.shutdownSending();
    const base::clock_time deadline = base::clock_time::steady() + m_timing.reconnectDelay;
    base::clock_time now = base::clock_time::steady();
    while (alive && now < deadline) {
        pollfd watched {connection.descriptor(), POLLIN, 0};
        ::poll(&watched, 1, static_cast<int>((deadline - now).millis()));
        now = base::clock_time::steady();
        connection.receive(now, alive);
    }
}

bool stream_client::sendQueued(internal::h2_connection &connection, connection_id id)
{
    while (const std::optional<stream_frame> frame = m_outgoing.tryPop()) {
        if (frame->connection == id)
            connection.sendFrame(internal::encodeFrame(*frame));
    }
    return connection.flush();
}

base::clock_time stream_client::reconnectDelay()
{
    const std::int64_t halfMillis = m_timing.reconnectDelay.millis() / 2;
    return base::clock_time::ofMillis(
        halfMillis + std::uniform_int_distribution<std::int64_t>(0, halfMillis)(m_random));
}

// Waits on the ring instead of sleeping, so that closing the ring ends the wait at once.
void stream_client::waitBeforeRetry()
{
    const bool isRedirected = m_isRedirected.exchange(false);
    const std::int64_t maxMillis = m_timing.redirectDelay.millis();
    const base::clock_time delay = isRedirected
        ? base::clock_time::ofMillis(
            std::uniform_int_distribution<std::int64_t>(0, maxMillis)(m_random))
        : reconnectDelay();
    const base::clock_time deadline = base::clock_time::steady() + delay;
    base::clock_time now = base::clock_time::steady();
    while (now < deadline && !m_outgoing.isClosed()) {
        m_outgoing.popFor(deadline - now);
        now = base::clock_time::steady();
    }
}

} // namespace lycheeshunt::streams
