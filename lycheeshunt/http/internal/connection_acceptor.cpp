#include "lycheeshunt/http/internal/connection_acceptor.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/http/internal/connection_counters.h"
#include "lycheeshunt/http/internal/connection_decision.h"
#include "lycheeshunt/http/internal/http_connection.h"

#include <algorithm>

namespace lycheeshunt::http::internal {

namespace {

using boost::asio::ip::tcp;

// After a failed accept(), as for want of descriptors, the next one would fail at once.
constexpr std::chrono::milliseconds acceptPause(100);
// Timeouts are exceeded by this much at most.
constexpr std::chrono::milliseconds sweepInterval(500);
// Lets several large bodies arrive at the same time.
constexpr std::size_t minLargestBodies = 16;

std::shared_ptr<const connection_limits> limitsFor(std::size_t maxBodyBytes,
                                                   const connection_limits &given)
{
    return std::make_shared<const connection_limits>(connection_limits {
        given.connections, given.connectionsPerAddress,
        std::max(given.bodyBytes, minLargestBodies * maxBodyBytes), given.idleTimeout,
        given.headerTimeout, given.bodyTimeout, given.writeTimeout, given.discardTimeout});
}

bool isResourceShortage(const boost::system::error_code &failure)
{
    return failure == boost::system::errc::too_many_files_open
        || failure == boost::system::errc::too_many_files_open_in_system
        || failure == boost::system::errc::not_enough_memory
        || failure == boost::system::errc::no_buffer_space;
}

std::string addressText(std::uint32_t address)
{
    return boost::asio::ip::address_v4(address).to_string();
}

} // namespace

connection_acceptor::connection_acceptor(std::size_t maxBodyBytes,
                                         std::shared_ptr<pending_calls> calls,
                                         http_listener::call_sink sink,
                                         const connection_limits &limits)
    : m_maxBodyBytes(maxBodyBytes), m_calls(std::move(calls)),
      m_sink(std::move(sink)), m_state {limitsFor(maxBodyBytes, limits)}, m_loop(1),
      m_acceptor(m_loop), m_pause(m_loop), m_sweep(m_loop)
{
}

connection_acceptor::~connection_acceptor() = default;

void connection_acceptor::listen(const base::endpoint &local)
{
    const tcp::endpoint where(boost::asio::ip::address_v4(local.address), local.port);
    m_acceptor.open(where.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(where);
    m_acceptor.listen();
    accept();
}

void connection_acceptor::run()
{
    while (!m_loop.stopped())
        base::runGuarded("http", [this]() { m_loop.run(); });
}

void connection_acceptor::stop()
{
    m_loop.stop();
}

bool connection_acceptor::offer(const http_call &call) const
{
    bool isTaken = false;
    base::runGuarded("http", [&]() { isTaken = m_sink(call); });
    return isTaken;
}

bool connection_acceptor::handle(const connection_message &message)
{
    base::step<connection_state, connection_action> next
        = decide(std::move(m_state), message, base::clock_time::steady());
    m_state = std::move(next.state);
    base::reportFault("http", next.fault);
    for (const connection_action &action : next.actions)
        carryOut(action);
    return !next.actions.empty();
}

void connection_acceptor::handleEnded(connection_id connection)
{
    m_connections.erase(connection);
    handle(connection_ended {connection});
}

void connection_acceptor::carryOut(const connection_action &action)
{
    connection_counters::ofProcess().count(action);
    const std::string open = std::to_string(m_state.connections.size());
    std::visit(base::overloaded {
                   [&open](const refuse_connection &refused) {
                       base::logEvent(
                           "http", "too_many_connections",
                           {{"address", addressText(refused.address)}, {"connections", open}});
                   },
                   [&open](const evict_connection &evicted) {
                       base::logEvent("http", "evicted",
                                      {{"address", addressText(evicted.address)},
                                       {"limit", textOf(evicted.reason)},
                                       {"phase", textOf(evicted.phase)},
                                       {"age_ms", std::to_string(evicted.age.millis())},
                                       {"connections", open}});
                   },
                   [&open](const expire_connection &expired) {
                       // An idle connection ends this way as a rule.
                       if (expired.phase != connection_phase::idle)
                           base::logEvent("http", "timed_out",
                                          {{"address", addressText(expired.address)},
                                           {"phase", textOf(expired.phase)},
                                           {"connections", open}});
                   },
               },
               action);
    const connection_id connection
        = std::visit([](const auto &each) { return each.connection; }, action);
    const auto found = m_connections.find(connection);
    if (found == m_connections.end())
        return;
    const std::shared_ptr<http_connection> closed = found->second.lock();
    m_connections.erase(found);
    if (closed)
        closed->close();
}

void connection_acceptor::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &failure, tcp::socket socket) {
        handleAccepted(failure, std::move(socket));
    });
}

void connection_acceptor::handleAccepted(const boost::system::error_code &failure,
                                         tcp::socket socket)
{
    if (failure) {
        handleAcceptFailure(failure);
        return;
    }
    base::runGuarded("http", [&]() { serve(std::move(socket)); });
    accept();
}

void connection_acceptor::handleAcceptFailure(const boost::system::error_code &failure)
{
    base::logEvent("http", "accept_failed", {{"reason", failure.message()}});
    bool hasClosedAny = false;
    if (isResourceShortage(failure))
        base::runGuarded("http", [&]() { hasClosedAny = handle(descriptors_exhausted {}); });
    if (hasClosedAny) {
        accept();
        return;
    }
    m_pause.expires_after(acceptPause);
    m_pause.async_wait([this](const boost::system::error_code &) { accept(); });
}

void connection_acceptor::serve(tcp::socket socket)
{
    boost::system::error_code disconnected;
    const tcp::endpoint remote = socket.remote_endpoint(disconnected);
    if (disconnected)
        return;
    const connection_id id(++m_lastConnection);
    const std::shared_ptr<http_connection> connection
        = std::make_shared<http_connection>(*this, id, std::move(socket));
    m_connections.emplace(id, connection);
    handle(connection_opened {id, remote.address().to_v4().to_uint()});
    if (m_state.connections.count(id) == 0)
        return;
    connection->awaitRequest();
    if (!m_isSweeping)
        awaitSweep();
}

void connection_acceptor::awaitSweep()
{
    m_isSweeping = true;
    m_sweep.expires_after(sweepInterval);
    m_sweep.async_wait([this](const boost::system::error_code &) {
        base::runGuarded("http", [this]() { handle(time_passed {}); });
        m_isSweeping = false;
        if (!m_state.connections.empty())
            awaitSweep();
    });
}

} // namespace lycheeshunt::http::internal
