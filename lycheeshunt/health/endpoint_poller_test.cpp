// The HTTP client against a small listener that answers with fixed bytes.

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

// The HTTP library frees a request on threads of its own, some time after its answer, so that what
// a test seems to leak differs from run to run. The address sanitizer finds leaks at the end.
const bool leaksAreLeftToTheSanitizer = []() {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

void waitReadable(int descriptor)
{
    pollfd watched {descriptor, POLLIN, 0};
    ::poll(&watched, 1, -1);
}

std::string answer(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Takes one connection for each answer, in order.
class listener
{
public:
    explicit listener(std::vector<std::string> answers)
        : m_socket(base::takeValue(base::openListener(anyPort))), m_answers(std::move(answers)),
          m_thread([this]() { run(); })
    {
    }
    ~listener() { m_thread.join(); }

    base::endpoint local() const { return base::localEndpoint(m_socket); }

private:
    void run()
    {
        for (const std::string &each : m_answers) {
            waitReadable(m_socket.get());
            const base::file_descriptor caller(::accept(m_socket.get(), nullptr, nullptr));
            char request[4096];
            waitReadable(caller.get());
            ::recv(caller.get(), request, sizeof request, 0);
            ::send(caller.get(), each.data(), each.size(), MSG_NOSIGNAL);
        }
    }

    const base::file_descriptor m_socket;
    const std::vector<std::string> m_answers;
    std::thread m_thread;
};

struct poll_case
{
    const char *what;
    std::vector<std::string> answers;
    health_report report;
};

} // namespace

TEST_GROUP(endpoint_poller) {};

TEST(endpoint_poller, readsWhatTheEndpointsSay)
{
    const poll_case cases[] = {
        {"good with a load",
         {answer("200 OK", "{}"), answer("200 OK", "{\"busy\":5}")},
         {reported_health::good, 5}},
        {"bad", {answer("503 Busy", ""), answer("404 None", "")}, {reported_health::bad, 0}},
        {"load of another form",
         {answer("200 OK", ""), answer("200 OK", "[\"busy\"]")},
         {reported_health::good, 0}},
        {"closed without an answer", {""}, {reported_health::unreachable, 0}},
        {"no HTTP", {"nonsense\r\n\r\n"}, {reported_health::unreachable, 0}},
    };
    for (const poll_case &row : cases) {
        const listener server(row.answers);
        CHECK_TEXT(endpoint_poller(server.local()).poll() == row.report, row.what);
    }
}

TEST(endpoint_poller, nothingListensThere)
{
    CHECK(leaksAreLeftToTheSanitizer);
    CHECK(endpoint_poller(closedAddress()).poll()
          == (health_report {reported_health::unreachable, 0}));
}

TEST(endpoint_poller, theDutyTellsOnceThatWorkFails)
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
