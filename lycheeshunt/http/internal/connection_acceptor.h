// Accepts the connections of one listener and owns the loop in which they are served.

#pragma once

#include "lycheeshunt/base/endpoint.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace lycheeshunt::http::internal {

class connection_acceptor : public std::enable_shared_from_this<connection_acceptor>
{
public:
    connection_acceptor(std::size_t maxBodyBytes, std::shared_ptr<pending_calls> calls,
                        http_listener::call_sink sink);
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
    void countConnection(int change) { m_connections += change; }

private:
    void accept();
    void handleAccepted(const boost::system::error_code &failure,
                        boost::asio::ip::tcp::socket socket);

    const std::size_t m_maxBodyBytes;
    const std::shared_ptr<pending_calls> m_calls;
    const http_listener::call_sink m_sink;
    int m_connections = 0;
    // Destroys the connections, which count themselves.
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
};

} // namespace lycheeshunt::http::internal
