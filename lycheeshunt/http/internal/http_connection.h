// One connection of a caller: reads a request, forwards it, and writes its answer, one after the
// other. It has a read buffer only from the first byte of a request to its end. Runs on the
// acceptor's thread, which also closes it when a timeout or a limit requires that.

#pragma once

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/http/http_answer.h"
#include "lycheeshunt/http/internal/connection_id.h"
#include "lycheeshunt/http/internal/connection_phase.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace lycheeshunt::http::internal {

class connection_acceptor;

class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    // The acceptor outlives its connections: their handlers are in its loop.
    http_connection(connection_acceptor &acceptor, connection_id id,
                    boost::asio::ip::tcp::socket socket);
    ~http_connection();

    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    // Waits for the first byte of a request without a read buffer.
    void awaitRequest();
    void close();

private:
    using error_code = boost::system::error_code;
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using response = boost::beast::http::response<boost::beast::http::string_body>;

    void enter(connection_phase phase);
    void readRequest();
    void handleHeader(const error_code &failure);
    void expectBody();
    void confirmBody();
    void readBody();
    void handleBodyPiece(const error_code &failure);
    void handleRequest(const error_code &failure);
    void logBody(const char *event) const;
    void refuse(const error_code &failure);
    void forward();
    // Removes the pending call when the caller disconnects before the answer.
    void awaitDisconnect(boost::asio::ip::tcp::socket::wait_type sign);
    void handleDisconnect(boost::asio::ip::tcp::socket::wait_type sign);
    void answer(const http_answer &answer);
    void write(const http_answer &answer, bool keepsOpen);
    void handleWritten(const error_code &failure);
    // Closes once the caller has read the answer, or has sent on for too long.
    void closeAfterRefusal();
    void discardInput();

    connection_acceptor &m_acceptor;
    const connection_id m_id;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::optional<response> m_response;
    base::request_id m_pending;
    base::clock_time m_headerReceivedAt;
    bool m_keepsOpen = false;
    std::size_t m_bodyReads = 0;
    // Size of the body when its progress was last reported.
    std::size_t m_reportedBytes = 0;
    std::size_t m_discarded = 0;
};

} // namespace lycheeshunt::http::internal
