// A connection that keeps its place for good without sending requests, or a client whose connection
// is closed while it waits for its next request's time.

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/http/flood_client_test.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::size_t maxBodyBytes = 1024;
const http::connection_limits limits {8, 8, maxBodyBytes, base::clock_time::ofMillis(2000),
                                      base::clock_time::ofMillis(300)};
// Longer than the header timeout.
constexpr std::chrono::milliseconds pauseBetweenRequests(500);
// The test client then waits for another second.
constexpr std::chrono::milliseconds silence(2000);

} // namespace

TEST_GROUP(connection_timeout)
{
    const base::endpoint local = base::freeEndpoint();
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    std::unique_ptr<http::http_listener> listener;

    void setup() override
    {
        listener = base::takeValue(http::http_listener::open(
            local, maxBodyBytes, calls,
            [this](const http::http_call &call) {
                calls->answer(http::http_answer {call.request, 200, "{}"});
                return true;
            },
            limits));
    }
};

TEST(connection_timeout, aConnectionBetweenRequestsIsClosedAfterTheIdleTimeoutOnly)
{
    const http::flood_client client(local);
    std::this_thread::sleep_for(pauseBetweenRequests);
    client.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 200", client.receive().c_str());
    std::this_thread::sleep_for(pauseBetweenRequests);
    client.send("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 200", client.receive().c_str());
    std::this_thread::sleep_for(silence);
    CHECK(client.isClosed());
}

TEST(connection_timeout, aHeaderThatArrivesByteByByteIsClosedAfterTheHeaderTimeout)
{
    const http::flood_client client(local);
    bool isOpen = true;
    // Twice the header timeout and the interval at which timeouts are looked for.
    for (int count = 0; count < 16 && isOpen; ++count) {
        isOpen = client.send("G");
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK_FALSE(isOpen);
}
