// A caller that sends its next request before the answer to the one before. Its connection must not
// end while a complete request of it is being handled.

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/http/flood_client_test.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::size_t maxBodyBytes = 1024;
const std::string request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
// Enough for the listener to notice what arrives while the first request is being handled.
constexpr std::chrono::milliseconds noticeTime(200);
const base::clock_time callTimeout = base::clock_time::ofSeconds(5);

} // namespace

TEST_GROUP(pipelined_request)
{
    const base::endpoint local = base::freeEndpoint();
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    base::ring<base::request_id> held = base::ring<base::request_id>(1);
    std::unique_ptr<http::http_listener> listener;

    void setup() override
    {
        listener = base::takeValue(http::http_listener::open(
            local, maxBodyBytes, calls,
            [this](const http::http_call &call) { return held.tryPush(call.request); }));
    }
};

TEST(pipelined_request, bothRequestsAreAnswered)
{
    const http::flood_client client(local);
    client.send(request);
    const std::optional<base::request_id> first = held.popFor(callTimeout);
    CHECK(first.has_value());
    client.send(request);
    std::this_thread::sleep_for(noticeTime);
    calls->answer(http::http_answer {*first, 200, "{}"});
    STRCMP_CONTAINS("HTTP/1.1 200", client.receive().c_str());
    const std::optional<base::request_id> second = held.popFor(callTimeout);
    CHECK(second.has_value());
    calls->answer(http::http_answer {*second, 200, "{}"});
    STRCMP_CONTAINS("HTTP/1.1 200", client.receive().c_str());
}
