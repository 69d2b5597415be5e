// Runs the HTTP client against a local listener that replies with fixed bytes.

#include "lycheeshunt/health/endpoint_poller.h"

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/health/health_duty.h"

#include <poll.h>
#include <sys/socket.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace lycheeshunt;
using namespace lycheeshunt::health;

namespace {

const base::endpoint anyPort {0x7f000001, 0};

base::endpoint closedAddress()
{
    const base::file_descriptor listener = base::takeValue(base::openListener(anyPort));
    return base::localEndpoint(listener);
}

// The HTTP library frees requests on its own threads, some time after the reply, so that CppUTest
// would report leaks that differ from run to run. The address sanitizer detects leaks at exit.
const bool leakDetectionIsLeftToTheSanitizer = []() {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

void waitReadable(int descriptor)
{
    pollfd watched {descriptor, POLLIN, 0};
    ::poll(&watched, 1, -1);
}

std::string httpReply(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts one connection for each reply, in order.
class listener
{
public:
    explicit listener(std::vector<std::string> replies)
        : m_socket(base::takeValue(base::openListener(anyPort))), m_replies(std::move(replies)),
          m_thread([this]() { run(); })
    {
    }
    ~listener() { m_thread.join(); }

    base::endpoint local() const { return base::localEndpoint(m_socket); }

private:
    void run()
    {
        for (const std::string &reply : m_replies) {
            waitReadable(m_socket.get());
            const base::file_descriptor connection(::accept(m_socket.get(), nullptr, nullptr));
            char request[4096];
            waitReadable(connection.get());
            ::recv(connection.get(), request, sizeof request, 0);
            ::send(connection.get(), reply.data(), reply.size(), MSG_NOSIGNAL);
        }
    }

    const base::file_descriptor m_socket;
    const std::vector<std::string> m_replies;
    std::thread m_thread;
};

struct poll_case
{
    const char *name;
    std::vector<std::string> replies;
    health_report report;
};

} // namespace

TEST_GROUP(endpoint_poller) {};

TEST(endpoint_poller, readsHealthAndLoadFromTheEndpoints)
{
    const poll_case cases[] = {
        {"good with load",
         {httpReply("200 OK", "{}"), httpReply("200 OK", "{\"busy\":5}")},
         {reported_health::good, 5}},
        {"bad", {httpReply("503 Busy", ""), httpReply("404 None", "")}, {reported_health::bad, 0}},
        {"load is not an object",
         {httpReply("200 OK", ""), httpReply("200 OK", "[\"busy\"]")},
         {reported_health::good, 0}},
        {"connection closed without a reply", {""}, {reported_health::unreachable, 0}},
        {"reply is not HTTP", {"nonsense\r\n\r\n"}, {reported_health::unreachable, 0}},
    };
    for (const poll_case &row : cases) {
        const listener server(row.replies);
        CHECK_TEXT(endpoint_poller(server.local()).poll() == row.report, row.name);
    }
}

TEST(endpoint_poller, closedPortIsUnreachable)
{
    CHECK(leakDetectionIsLeftToTheSanitizer);
    CHECK(endpoint_poller(closedAddress()).poll()
          == (health_report {reported_health::unreachable, 0}));
}

TEST(endpoint_poller, dutyPublishesAChangedVerdictOnce)
{
    base::ring<membership::member_health> verdicts(8);
    health_duty duty(closedAddress(),
                     [&](membership::member_health verdict) { verdicts.tryPush(verdict); });
    duty.inbox().push(observed_outcomes {0, 9});
    CHECK(verdicts.pop() == membership::member_health::bad);
    duty.inbox().push(observed_outcomes {0, 9});
    duty.stop();
    LONGS_EQUAL(0, verdicts.depth());
}
