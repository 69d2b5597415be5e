// A server without free descriptors can't accept the connection that waits: its loop would be woken
// again at once, for as long as the shortage lasts.

#include "lycheeshunt/streams/stream_client.h"
#include "lycheeshunt/streams/stream_server.h"

#include <sys/resource.h>
#include <unistd.h>

#include <ctime>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::streams;

namespace {

base::clock_time processorTime()
{
    timespec used {};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return base::clock_time::ofMillis(used.tv_sec * 1000 + used.tv_nsec / 1'000'000);
}

} // namespace

TEST_GROUP(stream_descriptors)
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

TEST(stream_descriptors, aServerWithoutDescriptorsWaitsAndAcceptsLater)
{
    constexpr std::size_t eventCapacity = 64;
    const base::clock_time shortage = base::clock_time::ofMillis(600);
    base::ring<stream_event> serverEvents(eventCapacity);
    base::ring<stream_event> clientEvents(eventCapacity);
    const std::unique_ptr<stream_server> server = base::takeValue(
        stream_server::listen(base::endpoint {0x7f000001, 0}, {},
                              [&](const stream_event &event) { serverEvents.push(event); }));
    // The client takes two descriptors, for its ring and its socket, and none is left then.
    const int first = ::dup(STDIN_FILENO);
    const int second = ::dup(STDIN_FILENO);
    ::close(first);
    ::close(second);
    const rlimit scarce {static_cast<rlim_t>(second) + 1, limitBefore.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &scarce);
    const base::clock_time usedBefore = processorTime();
    stream_client client({server->local()}, {}, 1,
                         [&](const stream_event &event) { clientEvents.push(event); });
    const bool wasAccepted = serverEvents.popFor(shortage).has_value();
    const base::clock_time used = processorTime() - usedBefore;
    // Sanitizers need descriptors for their own checks.
    ::setrlimit(RLIMIT_NOFILE, &limitBefore);
    CHECK_FALSE(wasAccepted);
    CHECK(used < shortage / 4);
    const std::optional<stream_event> opened = serverEvents.popFor(base::clock_time::ofSeconds(10));
    CHECK(opened && std::holds_alternative<stream_opened>(*opened));
}
