// A process whose descriptors are all taken, some of them by silent connections, can't accept the
// connection of a readiness probe until these time out.

#include "lycheeshunt/base/free_endpoint_test.h"
#include "lycheeshunt/http/flood_client_test.h"
#include "lycheeshunt/http/http_listener.h"
#include "lycheeshunt/http/pending_calls.h"

#include <sys/resource.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;

namespace {

constexpr std::size_t silentConnections = 10;
constexpr std::size_t maxBodyBytes = 1024;
const std::string probe = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";

} // namespace

TEST_GROUP(connection_descriptors)
{
    rlimit limitBefore {};

    void setup() override
    {
        ::getrlimit(RLIMIT_NOFILE, &limitBefore);
    }
    void teardown() override
    {
        ::setrlimit(RLIMIT_NOFILE, &limitBefore);
    }
};

TEST(connection_descriptors, aSilentConnectionGivesItsDescriptorToARequest)
{
    const base::endpoint local = base::freeEndpoint();
    const std::shared_ptr<http::pending_calls> calls = std::make_shared<http::pending_calls>();
    const base::result<std::unique_ptr<http::http_listener>> opened
        = http::http_listener::open(local, maxBodyBytes, calls, [&](const http::http_call &call) {
              calls->answer(http::http_answer {call.request, 200, "{}"});
              return true;
          });
    CHECK(base::isOk(opened));
    const std::vector<http::flood_client> silent = http::openFlood(local, silentConnections);
    const http::flood_client between(local);
    between.send(probe);
    STRCMP_CONTAINS("HTTP/1.1 200", between.receive().c_str());
    // Every descriptor below the next one is taken; the client takes that one, and none is left.
    const int next = ::dup(STDIN_FILENO);
    ::close(next);
    const rlimit scarce {static_cast<rlim_t>(next) + 1, limitBefore.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &scarce);
    const http::flood_client client(local);
    client.send(probe);
    const std::string answer = client.receive();
    // Sanitizers need descriptors for their own checks.
    ::setrlimit(RLIMIT_NOFILE, &limitBefore);
    STRCMP_CONTAINS("HTTP/1.1 200", answer.c_str());
    CHECK(silent.front().isClosed());
    between.send(probe);
    STRCMP_CONTAINS("HTTP/1.1 200", between.receive().c_str());
}
