#include "lycheeshunt/http/internal/http_connection.h"

#include "lycheeshunt/base/error.h"
#include "lycheeshunt/base/log.h"
#include "lycheeshunt/http/internal/connection_acceptor.h"
#include "lycheeshunt/http/internal/connection_counters.h"
#include "lycheeshunt/http/internal/pending_requests.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace lycheeshunt::http::internal {

namespace beast = boost::beast;

namespace {

constexpr unsigned httpVersion = 11;
constexpr std::uint32_t maxHeaderBytes = 8 * 1024;
constexpr std::size_t readBufferBytes = 16 * 1024;
// Takes most headers. The buffer grows for longer ones as they arrive.
constexpr std::size_t headerBufferBytes = 1024;
// Less is not counted as progress of a body. A caller that sends as it can sends more at a time.
constexpr std::size_t progressBytes = 4 * 1024;
constexpr std::size_t maxDiscardedBytes = 4 * 1024 * 1024;
constexpr std::size_t discardPieceBytes = 4 * 1024;
// Bodies above this size are logged.
constexpr std::size_t largeBodyBytes = 16 * 1024;
constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

http_answer refusal(beast::http::status status, base::error_code code)
{
    const base::error failure {code, ""};
    return http_answer {base::request_id(), static_cast<int>(status),
                        "{\"faults\":[{\"code\":" + std::to_string(static_cast<int>(code))
                            + ",\"text\":\"" + failure.text() + "\"}]}"};
}

// The path and query of a target, which may be a whole URI.
std::string_view withoutAuthority(std::string_view target)
{
    const std::size_t scheme = target.find("://");
    if (target.empty() || target.front() == '/' || scheme == std::string_view::npos)
        return target;
    const std::size_t path = target.find('/', scheme + 3);
    return path == std::string_view::npos ? "/" : target.substr(path);
}

} // namespace

http_connection::http_connection(connection_acceptor &acceptor, connection_id id,
                                 boost::asio::ip::tcp::socket socket)
    : m_acceptor(acceptor), m_id(id), m_socket(std::move(socket)), m_buffer(readBufferBytes)
{
    connection_counters::ofProcess().countOpened();
}

http_connection::~http_connection()
{
    connection_counters::ofProcess().countEnded();
    m_acceptor.handleEnded(m_id);
}

void http_connection::close()
{
    // Ends the operations that hold the connection.
    error_code ignored;
    m_socket.close(ignored);
}

void http_connection::enter(connection_phase phase)
{
    m_acceptor.handle(phase_entered {m_id, phase});
}

void http_connection::awaitRequest()
{
    m_parser.reset();
    m_response.reset();
    if (m_buffer.size() > 0) {
        readRequest();
        return;
    }
    m_buffer.shrink_to_fit();
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code &failure) {
                            if (!failure)
                                self->readRequest();
                        });
}

void http_connection::readRequest()
{
    enter(connection_phase::header);
    m_parser.emplace();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(m_acceptor.maxBodyBytes());
    // The library reads as many bytes at a time as the buffer has room for.
    m_buffer.reserve(headerBufferBytes);
    beast::http::async_read_header(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code &failure, std::size_t) {
            self->handleHeader(failure);
        });
}

void http_connection::handleHeader(const error_code &failure)
{
    m_headerReceivedAt = base::clock_time::steady();
    m_bodyReads = 0;
    m_reportedBytes = 0;
    if (failure) {
        refuse(failure);
        return;
    }
    if (!m_parser->is_done())
        expectBody();
    if (beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue"))
        confirmBody();
    else
        readBody();
}

void http_connection::expectBody()
{
    // A body in chunks has no length in its header.
    const std::size_t bodyBytes
        = static_cast<std::size_t>(m_parser->content_length().value_or(m_acceptor.maxBodyBytes()));
    m_acceptor.handle(body_expected {m_id, bodyBytes + readBufferBytes});
    m_buffer.reserve(readBufferBytes);
}

void http_connection::confirmBody()
{
    boost::asio::async_write(m_socket, boost::asio::buffer(continueLine),
                             [self = shared_from_this()](const error_code &failure, std::size_t) {
                                 if (!failure)
                                     self->readBody();
                             });
}

void http_connection::readBody()
{
    if (m_parser->is_done()) {
        handleRequest(error_code());
        return;
    }
    // Parses all that a read brings, not one element of the body.
    m_parser->eager(true);
    beast::http::async_read_some(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code &failure, std::size_t) {
            self->handleBodyPiece(failure);
        });
}

void http_connection::handleBodyPiece(const error_code &failure)
{
    ++m_bodyReads;
    const std::size_t received = m_parser->get().body().size();
    if (!failure && !m_parser->is_done()) {
        if (received >= m_reportedBytes + progressBytes) {
            m_reportedBytes = received;
            m_acceptor.handle(body_progressed {m_id});
        }
        readBody();
        return;
    }
    if (received > largeBodyBytes)
        logBody(failure ? "incomplete" : "received");
    handleRequest(failure);
}

void http_connection::logBody(const char *event) const
{
    const beast::http::request<beast::http::string_body> &request = m_parser->get();
    const base::clock_time elapsed = base::clock_time::steady() - m_headerReceivedAt;
    base::logEvent("http", event,
                   {{"method", std::string(request.method_string())},
                    {"path", std::string(request.target())},
                    {"bytes", std::to_string(request.body().size())},
                    {"reads", std::to_string(m_bodyReads)},
                    {"ms", std::to_string(elapsed.millis())}});
}

void http_connection::handleRequest(const error_code &failure)
{
    if (failure)
        refuse(failure);
    else
        forward();
}

void http_connection::refuse(const error_code &failure)
{
    // Otherwise the caller has closed the connection, or has sent nothing for too long.
    const bool isMalformed
        = failure.category() == beast::http::make_error_code(beast::http::error()).category()
        && failure != beast::http::error::end_of_stream
        && failure != beast::http::error::partial_message;
    if (!isMalformed)
        return;
    const bool isTooLong = failure == beast::http::error::body_limit
        || failure == beast::http::error::header_limit
        || failure == beast::http::error::buffer_overflow;
    base::logEvent("http", "refused", {{"reason", failure.message()}});
    write(isTooLong
              ? refusal(beast::http::status::payload_too_large, base::error_code::bodyTooLarge)
              : refusal(beast::http::status::bad_request, base::error_code::requestMalformed),
          false);
}

void http_connection::forward()
{
    // A connection that was closed after its last bytes were read: its request is not run.
    if (!m_socket.is_open())
        return;
    enter(connection_phase::answering);
    m_keepsOpen = m_parser->keep_alive();
    beast::http::request<beast::http::string_body> &request = m_parser->get();
    const std::string_view target
        = withoutAuthority(std::string_view(request.target().data(), request.target().size()));
    const std::size_t query = target.find('?');
    const base::request_id id
        = m_acceptor.calls().add([acceptor = m_acceptor.weak_from_this(),
                                  self = weak_from_this()](const http_answer &answer) {
              // Holds the loop until the answer is in it.
              const std::shared_ptr<connection_acceptor> running = acceptor.lock();
              if (!running)
                  return;
              boost::asio::dispatch(running->loop(), [self, answer]() {
                  if (const std::shared_ptr<http_connection> connection = self.lock())
                      connection->answer(answer);
              });
          });
    m_pending = id;
    const http_call call {id,
                          std::string(request.method_string()),
                          std::string(target.substr(0, query)),
                          std::move(request.body()),
                          query == std::string_view::npos ? std::string()
                                                          : std::string(target.substr(query + 1)),
                          std::string(request[beast::http::field::authorization]),
                          m_bodyReads};
    // Nothing of the request is held while its answer is awaited.
    m_parser.reset();
    m_buffer.shrink_to_fit();
    if (id != base::request_id() && m_acceptor.offer(call)) {
        awaitDisconnect(boost::asio::ip::tcp::socket::wait_read);
        return;
    }
    m_acceptor.calls().remove(id);
    write(refusal(beast::http::status::service_unavailable, base::error_code::tooBusy),
          m_keepsOpen);
}

void http_connection::awaitDisconnect(boost::asio::ip::tcp::socket::wait_type sign)
{
    if (m_pending == base::request_id())
        return;
    m_socket.async_wait(
        sign, [self = shared_from_this(), sign, id = m_pending](const error_code &failure) {
            if (!failure && self->m_pending == id)
                self->handleDisconnect(sign);
        });
}

void http_connection::handleDisconnect(boost::asio::ip::tcp::socket::wait_type sign)
{
    error_code unknown;
    if (sign == boost::asio::ip::tcp::socket::wait_read && m_socket.available(unknown) > 0) {
        // The next request, which is read after the answer. Until then only a reset is noticed.
        awaitDisconnect(boost::asio::ip::tcp::socket::wait_error);
        return;
    }
    base::logEvent("http", "caller_left", {{"request", std::to_string(m_pending.value())}});
    m_acceptor.calls().remove(m_pending);
    close();
}

void http_connection::answer(const http_answer &answer)
{
    m_pending = base::request_id();
    error_code ignored;
    // Ends the wait for a disconnect.
    m_socket.cancel(ignored);
    write(answer, m_keepsOpen);
}

void http_connection::write(const http_answer &answer, bool keepsOpen)
{
    m_response.emplace(static_cast<beast::http::status>(answer.status), httpVersion);
    m_response->set(beast::http::field::content_type, answer.contentType);
    if (!answer.location.empty())
        m_response->set(beast::http::field::location, answer.location);
    m_response->body() = answer.body;
    m_response->keep_alive(keepsOpen);
    m_response->prepare_payload();
    enter(connection_phase::writing);
    beast::http::async_write(m_socket, *m_response,
                             [self = shared_from_this()](const error_code &failure, std::size_t) {
                                 self->handleWritten(failure);
                             });
}

void http_connection::handleWritten(const error_code &failure)
{
    if (failure)
        return;
    if (!m_response->keep_alive()) {
        closeAfterRefusal();
        return;
    }
    enter(connection_phase::idle);
    awaitRequest();
}

void http_connection::closeAfterRefusal()
{
    enter(connection_phase::closing);
    error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    discardInput();
}

void http_connection::discardInput()
{
    m_socket.async_read_some(
        m_buffer.prepare(discardPieceBytes),
        [self = shared_from_this()](const error_code &failure, std::size_t count) {
            self->m_discarded += count;
            if (!failure && self->m_discarded < maxDiscardedBytes)
                self->discardInput();
        });
}

} // namespace lycheeshunt::http::internal
