#include "lycheeshunt/http/internal/connection_acceptor.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/http/internal/http_connection.h"

namespace lycheeshunt::http::internal {

namespace {

using boost::asio::ip::tcp;

constexpr int maxConnections = 256;
// After a failed accept(), as for want of descriptors, the next one would fail at once.
constexpr std::chrono::milliseconds acceptPause(100);

} // namespace

connection_acceptor::connection_acceptor(std::size_t maxBodyBytes,
                                         std::shared_ptr<pending_calls> calls,
                                         http_listener::call_sink sink)
    : m_maxBodyBytes(maxBodyBytes), m_calls(std::move(calls)), m_sink(std::move(sink)), m_loop(1),
      m_acceptor(m_loop), m_pause(m_loop)
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
        base::logEvent("http", "accept_failed", {{"reason", failure.message()}});
        m_pause.expires_after(acceptPause);
        m_pause.async_wait([this](const boost::system::error_code &) { accept(); });
        return;
    }
    if (m_connections < maxConnections)
        std::make_shared<http_connection>(*this, std::move(socket))->readRequest();
    else
        base::logEvent("http", "too_many_connections",
                       {{"connections", std::to_string(m_connections)}});
    accept();
}

} // namespace lycheeshunt::http::internal
