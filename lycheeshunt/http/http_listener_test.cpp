// A listener that closes while one of the library's threads is still in the sink. What the sink
// uses is destroyed after the listener: a sink that runs longer uses freed memory.

#include "lycheeshunt/http/http_listener.h"

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/http/early_client_test.h"
#include "lycheeshunt/http/pending_calls.h"

#include <chrono>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t maxBodyBytes = 1024;
// Longer than it takes to close a listener.
constexpr std::chrono::milliseconds sinkTime(500);

} // namespace

TEST_GROUP(http_listener) {};

TEST(http_listener, theSinkHasReturnedOnceTheListenerIsClosed)
{
    const base::endpoint local = base::freeEndpoint();
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    std::promise<void> closed;
    std::promise<bool> sinkResult;
    http::early_client client(local, "/");
    {
        const base::result<std::unique_ptr<http::http_listener>> opened = http::http_listener::open(
            local, maxBodyBytes, calls, [&](const http::http_call &call) {
                calls->answer(http::http_answer {call.request, 200, "{}"});
                const bool isClosed
                    = closed.get_future().wait_for(sinkTime) == std::future_status::ready;
                sinkResult.set_value(isClosed);
                return true;
            });
        CHECK(base::isOk(opened));
    }
    closed.set_value();
    STRCMP_CONTAINS("HTTP/1.1 200", client.answer().c_str());
    const bool isClosedBeforeTheSinkReturns = sinkResult.get_future().get();
    CHECK_FALSE(isClosedBeforeTheSinkReturns);
}
