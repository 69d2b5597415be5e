// A body of hundreds of kilobytes that is read in pieces of 512 bytes takes hundreds of wake-ups.
// On a VM that is busy with other work it then arrives later than its caller waits.

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <future>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
// Fits into the receive buffer of a socket, so that it can wait there whole.
constexpr std::size_t bodyBytes = 48 * 1024;
constexpr std::size_t minBytesPerRead = 4 * 1024;

base::file_descriptor connectTo(const base::endpoint &server)
{
    base::file_descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in remote = base::toSocketAddress(server);
    CHECK(::connect(socket.get(), reinterpret_cast<const sockaddr *>(&remote), sizeof remote) == 0);
    return socket;
}

void sendAll(const base::file_descriptor &socket, const std::string &bytes)
{
    LONGS_EQUAL(bytes.size(), ::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
}

} // namespace

TEST_GROUP(large_body) {};

TEST(large_body, isReceivedInAFewReads)
{
    const base::endpoint local = base::freeEndpoint();
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    std::promise<void> isBlocked;
    std::promise<void> sent;
    std::promise<std::size_t> reads;
    const base::result<std::unique_ptr<http::http_listener>> opened
        = http::http_listener::open(local, 2 * bodyBytes, calls, [&](const http::http_call &call) {
              if (call.body.empty()) {
                  // Holds the listener's thread until the other request waits whole in its socket.
                  isBlocked.set_value();
                  sent.get_future().wait();
              } else {
                  reads.set_value(call.bodyReads);
              }
              return false;
          });
    CHECK(base::isOk(opened));
    const base::file_descriptor first = connectTo(local);
    sendAll(first, "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    isBlocked.get_future().wait();
    const base::file_descriptor second = connectTo(local);
    sendAll(second,
            "PUT / HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(bodyBytes)
                + "\r\n\r\n" + std::string(bodyBytes, 'x'));
    sent.set_value();
    CHECK(reads.get_future().get() <= bodyBytes / minBytesPerRead);
}
