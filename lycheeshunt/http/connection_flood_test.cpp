// Thousands of connections without a complete request take all places of a listener. A readiness
// request or an operator's request that comes after them is then reset until the connections time
// out. They come from the address of the well-behaved clients, as behind one VM.

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/base/ring.h"
#include "lycheeshunt/http/connection_counts.h"
#include "lycheeshunt/http/flood_client_test.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

#include <atomic>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::size_t floodSize = 4000;
constexpr std::size_t maxBodyBytes = 1024 * 1024;
constexpr std::size_t requestCount = 8;
constexpr std::chrono::milliseconds requestInterval(300);
const std::string probe = "GET /ready HTTP/1.1\r\nHost: test\r\n\r\n";
const std::string longRunning = "GET /long HTTP/1.1\r\nHost: test\r\n\r\n";
const std::string document = "PUT /state HTTP/1.1\r\nHost: test\r\nContent-Length: 20000\r\n\r\n"
    + std::string(20000, ' ');

} // namespace

TEST_GROUP(connection_flood)
{
    const base::endpoint local = base::freeEndpoint();
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    base::ring<base::request_id> held = base::ring<base::request_id>(1);
    std::unique_ptr<http::http_listener> listener;

    void setup() override
    {
        listener = base::takeValue(http::http_listener::open(
            local, maxBodyBytes, calls, [this](const http::http_call &call) {
                if (call.path == "/long")
                    return held.tryPush(call.request);
                calls->answer(http::http_answer {call.request, 200, "{}"});
                return true;
            }));
    }

    // Whether a request on a new connection is answered within a second.
    bool isAnswered(const std::string &request) const
    {
        const base::clock_time started = base::clock_time::steady();
        const http::flood_client client(local);
        client.send(request);
        return client.receive().starts_with("HTTP/1.1 200")
            && base::clock_time::steady() - started < base::clock_time::ofSeconds(1);
    }

    void checkConnected(const http::flood_client &client) const
    {
        client.send(probe);
        STRCMP_CONTAINS("HTTP/1.1 200", client.receive().c_str());
    }
};

TEST(connection_flood, requestsAreAnsweredBesideSilentConnections)
{
    const http::flood_client between(local);
    checkConnected(between);
    const http::flood_client waiting(local);
    waiting.send(longRunning);
    const base::request_id request = *held.popFor(base::clock_time::ofSeconds(5));
    const std::vector<http::flood_client> flood = http::openFlood(local, floodSize);
    CHECK(isAnswered(probe));
    CHECK(isAnswered(document));
    calls->answer(http::http_answer {request, 200, "{}"});
    STRCMP_CONTAINS("HTTP/1.1 200", waiting.receive().c_str());
    checkConnected(between);
    const http::connection_limits limits;
    const http::connection_counts counts = http::connectionCounts();
    CHECK(counts.open <= limits.connections);
    CHECK(counts.evicted.at("connections_per_address") + limits.connectionsPerAddress
          >= flood.size());
}

TEST(connection_flood, requestsAreAnsweredBesideConnectionsThatSendOneBytePerSecond)
{
    std::vector<http::flood_client> flood = http::openFlood(local, floodSize);
    std::atomic<bool> isStopping = false;
    std::thread senders([&]() {
        const std::string request = "GET /ready HTTP/1.1\r\n";
        for (std::size_t sent = 0; !isStopping; ++sent) {
            const base::clock_time next
                = base::clock_time::steady() + base::clock_time::ofSeconds(1);
            for (std::size_t index = 0; index < flood.size() && !isStopping; ++index) {
                if (!flood[index].send(request.substr(sent % request.size(), 1)))
                    flood[index] = http::flood_client(local);
            }
            while (!isStopping && base::clock_time::steady() < next)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    });
    std::size_t answered = 0;
    for (std::size_t count = 0; count < requestCount; ++count) {
        std::this_thread::sleep_for(requestInterval);
        answered += isAnswered(count % 2 == 0 ? probe : document) ? 1 : 0;
    }
    isStopping = true;
    senders.join();
    LONGS_EQUAL(requestCount, answered);
}
