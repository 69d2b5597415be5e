// Accepts the connections of one listener and owns the loop in which they are served. Carries out
// the decisions about which of them are closed.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/internal/connection_action.h"
#include "lycheeshunt/http/internal/connection_message.h"
#include "lycheeshunt/http/internal/connection_state.h"
#include "lycheeshunt/http/pending_calls.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace lycheeshunt::http::internal {

class http_connection;

class connection_acceptor : public std::enable_shared_from_this<connection_acceptor>
{
public:
    connection_acceptor(std::size_t maxBodyBytes, std::shared_ptr<pending_calls> calls,
                        http_listener::call_sink sink, const connection_limits &limits);
    ~connection_acceptor();

    connection_acceptor(const connection_acceptor &) = delete;
    connection_acceptor &operator=(const connection_acceptor &) = delete;

    // Throws boost::system::system_error when the address can't be listened on.
    void listen(const base::endpoint &local);
    // Serves connections until stop() is called.
    void run();
    // Thread-safe.
    void stop();

    boost::asio::io_context &loop() { return m_loop; }
    std::size_t maxBodyBytes() const { return m_maxBodyBytes; }
    pending_calls::implementation &calls() const { return *m_calls->m_implementation; }
    // Forwards the call to the sink. Returns false if it can't be handled.
    bool offer(const http_call &call) const;
    // Decides on the message, and closes connections accordingly. Returns whether any was closed.
    bool handle(const connection_message &message);
    void handleEnded(connection_id connection);

private:
    void accept();
    void handleAccepted(const boost::system::error_code &failure,
                        boost::asio::ip::tcp::socket socket);
    void handleAcceptFailure(const boost::system::error_code &failure);
    void serve(boost::asio::ip::tcp::socket socket);
    void carryOut(const connection_action &action);
    void awaitSweep();

    const std::size_t m_maxBodyBytes;
    const std::shared_ptr<pending_calls> m_calls;
    const http_listener::call_sink m_sink;
    connection_state m_state;
    // The connections of the state.
    std::map<connection_id, std::weak_ptr<http_connection>> m_connections;
    std::uint64_t m_lastConnection = 0;
    bool m_isSweeping = false;
    // Destroys the connections, which report their end.
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    boost::asio::steady_timer m_sweep;
};

} // namespace lycheeshunt::http::internal
