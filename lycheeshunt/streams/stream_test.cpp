// Contract of a stream: frames arrive complete and in order in both directions, and a client leaves
// an unresponsive server for another one.

#include "lycheeshunt/streams/stream_client.h"
#include "lycheeshunt/streams/stream_server.h"

#include "lycheeshunt/base/socket.h"

#include <sys/socket.h>

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheeshunt;
using namespace lycheeshunt::streams;

namespace {

const base::endpoint anyPort {0x7f000001, 0};
constexpr std::size_t eventCapacity = 256;

// Pops events until one of the wanted type arrives.
template <typename wanted>
wanted await(base::ring<stream_event> &events)
{
    while (true) {
        const std::optional<stream_event> event = events.pop();
        if (const wanted *found = std::get_if<wanted>(&*event))
            return *found;
    }
}

// A listener whose queue is full, so that the system drops further SYN packets.
class full_listener
{
public:
    full_listener() : m_listener(base::takeValue(base::openListener(anyPort)))
    {
        ::listen(m_listener.get(), 0);
        m_queued.push_back(base::takeValue(base::startConnection(local())));
    }
    base::endpoint local() const { return base::localEndpoint(m_listener); }

private:
    const base::file_descriptor m_listener;
    std::vector<base::file_descriptor> m_queued;
};

} // namespace

TEST_GROUP(streams)
{
    base::ring<stream_event> serverEvents {eventCapacity};
    base::ring<stream_event> clientEvents {eventCapacity};

    std::unique_ptr<stream_server> listen()
    {
        return base::takeValue(stream_server::listen(
            anyPort, {}, [this](const stream_event &event) { serverEvents.push(event); }));
    }
};

TEST(streams, framesArriveCompleteAndInOrderInBothDirections)
{
    const std::unique_ptr<stream_server> server = listen();
    stream_client client({server->local()}, {}, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id connection = await<stream_opened>(clientEvents).connection;
    const std::string large(1'000'000, 'x');
    client.outgoing().push({connection, channel::membership, "first"});
    client.outgoing().push({connection, channel::dissemination, large});
    const stream_frame first = await<stream_frame>(serverEvents);
    const stream_frame second = await<stream_frame>(serverEvents);
    STRCMP_EQUAL("first", first.bytes.c_str());
    CHECK(first.channel == channel::membership);
    CHECK(second.bytes == large);
    server->outgoing().push({first.connection, channel::replication, "back"});
    const stream_frame back = await<stream_frame>(clientEvents);
    STRCMP_EQUAL("back", back.bytes.c_str());
    CHECK(client.bytesCarried() > large.size());
}

// With Nagle's algorithm a small frame waits until the client has acknowledged the one before, 40
// ms later. A node waited for its first view up to 90 ms after it had reached an idle leader.
TEST(streams, aServersSmallFramesDoNotWaitForEachOther)
{
    const std::unique_ptr<stream_server> server = listen();
    stream_client client({server->local()}, {}, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id connection = await<stream_opened>(clientEvents).connection;
    constexpr int rounds = 20;
    // The frames are written one by one.
    constexpr std::chrono::milliseconds pause(2);
    constexpr base::clock_time delayed = base::clock_time::ofMillis(25);
    int late = 0;
    for (int i = 0; i < rounds; ++i) {
        client.outgoing().push({connection, channel::dissemination, "request"});
        const connection_id asking = await<stream_frame>(serverEvents).connection;
        server->outgoing().push({asking, channel::dissemination, "first"});
        std::this_thread::sleep_for(pause);
        const base::clock_time start = base::clock_time::steady();
        server->outgoing().push({asking, channel::dissemination, "second"});
        await<stream_frame>(clientEvents);
        await<stream_frame>(clientEvents);
        late += base::clock_time::steady() - start >= delayed ? 1 : 0;
    }
    // On a busy machine some rounds are late for other reasons.
    CHECK(late < rounds / 2);
}

TEST(streams, aFrameWithoutBytesClosesItsConnectionAndTheClientReconnects)
{
    const std::unique_ptr<stream_server> server = listen();
    stream_client client({server->local()}, {}, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id connection = await<stream_opened>(serverEvents).connection;
    server->outgoing().push({connection, channel::membership, ""});
    CHECK(await<stream_closed>(serverEvents).connection == connection);
    CHECK(await<stream_opened>(serverEvents).connection != connection);
}

TEST(streams, aStoppedClientSendsItsQueuedFrames)
{
    const std::unique_ptr<stream_server> server = listen();
    std::unique_ptr<stream_client> client = std::make_unique<stream_client>(
        std::vector<base::endpoint> {server->local()}, stream_timing {}, 1,
        [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id connection = await<stream_opened>(clientEvents).connection;
    client->outgoing().push({connection, channel::membership, "last"});
    client.reset();
    STRCMP_EQUAL("last", await<stream_frame>(serverEvents).bytes.c_str());
}

TEST(streams, anUnresponsiveServerIsReplacedByAnother)
{
    // Accepts connections in its listen backlog and never sends a byte.
    const base::file_descriptor silent = base::takeValue(base::openListener(anyPort));
    const std::unique_ptr<stream_server> server = listen();
    const stream_timing shortTiming {base::clock_time::ofMillis(20), base::clock_time::ofMillis(60),
                                     base::clock_time::ofMillis(10)};
    stream_client client({base::localEndpoint(silent), server->local()}, shortTiming, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id left = await<stream_closed>(clientEvents).connection;
    CHECK(await<stream_opened>(clientEvents).connection > left);
    await<stream_opened>(serverEvents);
}

// A VM whose process is stopped: its operating system accepts connections, and its process sends
// nothing.
TEST(streams, aServerThatAcceptedAndSentNothingIsNotRetriedAtOnce)
{
    const base::file_descriptor stopped = base::takeValue(base::openListener(anyPort));
    const std::unique_ptr<stream_server> server = listen();
    const stream_timing shortTiming {base::clock_time::ofMillis(20),
                                     base::clock_time::ofMillis(5000),
                                     base::clock_time::ofMillis(60), base::clock_time::ofMillis(60),
                                     base::clock_time::ofMillis(10)};
    const base::endpoint stoppedEndpoint = base::localEndpoint(stopped);
    stream_client client({stoppedEndpoint}, shortTiming, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    await<stream_opened>(clientEvents);
    // The list of servers begins with it, because it was the leader before it stopped.
    client.useServers({stoppedEndpoint, server->local()}, true);
    await<stream_closed>(clientEvents);
    await<stream_opened>(serverEvents);
}

// Servers that close the connection, as control VMs do that are partitioned from the others.
TEST(streams, everyServerIsTriedWhenNoLeaderIsKnown)
{
    const std::unique_ptr<stream_server> first = listen();
    const std::unique_ptr<stream_server> second = listen();
    const std::unique_ptr<stream_server> third = listen();
    const stream_timing shortTiming {
        base::clock_time::ofMillis(20), base::clock_time::ofMillis(500),
        base::clock_time::ofMillis(500), base::clock_time::ofMillis(500),
        base::clock_time::ofMillis(10)};
    const std::vector<base::endpoint> all {first->local(), second->local(), third->local()};
    stream_client client(all, shortTiming, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    for (int i = 0; i < 3; ++i) {
        const connection_id connection = await<stream_opened>(serverEvents).connection;
        // The server that accepted the connection sends the list of servers and closes it.
        client.useServers(std::vector<base::endpoint>(all), false);
        for (const std::unique_ptr<stream_server> *each : {&first, &second, &third})
            (*each)->outgoing().tryPush(stream_frame {connection, channel::dissemination, {}});
        await<stream_closed>(clientEvents);
    }
    CHECK_EQUAL(1U, first->accepted());
    CHECK_EQUAL(1U, second->accepted());
    CHECK_EQUAL(1U, third->accepted());
}

// A node that is redirected to the leader connects without the reconnect delay, which is longer
// here than this test may take.
// A VM without power does not reply to a SYN packet. A node waited 300 ms for each such VM, and up
// to 200 ms more before the next, while a control VM was ready to serve it.
TEST(streams, serversThatDoNotReplyDoNotDelayTheClientOneByOne)
{
    const std::unique_ptr<stream_server> server = listen();
    const full_listener first;
    const full_listener second;
    constexpr base::clock_time oneByOne = stream_timing {}.connectTimeout * 2;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const base::clock_time start = base::clock_time::steady();
        stream_client client({first.local(), second.local(), server->local()}, {}, seed,
                             [this](const stream_event &event) { clientEvents.push(event); });
        await<stream_opened>(clientEvents);
        CHECK(base::clock_time::steady() - start < oneByOne);
    }
}

TEST(streams, aRedirectedClientConnectsWithoutTheReconnectDelay)
{
    const std::unique_ptr<stream_server> first = listen();
    const std::unique_ptr<stream_server> second = listen();
    const stream_timing longReconnect {
        base::clock_time::ofMillis(20),   base::clock_time::ofMillis(5000),
        base::clock_time::ofMillis(5000), base::clock_time::ofMillis(5000),
        base::clock_time::ofSeconds(600), base::clock_time::ofMillis(10)};
    stream_client client({first->local()}, longReconnect, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id connection = await<stream_opened>(serverEvents).connection;
    client.useServers({second->local(), first->local()}, true);
    first->outgoing().tryPush(stream_frame {connection, channel::dissemination, {}});
    await<stream_closed>(clientEvents);
    await<stream_opened>(serverEvents);
    CHECK_EQUAL(1U, second->accepted());
}

TEST(streams, aClosedServerIsReportedAndTheClientReconnects)
{
    std::unique_ptr<stream_server> server = listen();
    const base::endpoint local = server->local();
    stream_client client({local}, {}, 1,
                         [this](const stream_event &event) { clientEvents.push(event); });
    const connection_id before = await<stream_opened>(clientEvents).connection;
    await<stream_opened>(serverEvents);
    server.reset();
    CHECK(await<stream_closed>(clientEvents).connection == before);
    server = base::takeValue(stream_server::listen(
        local, {}, [this](const stream_event &event) { serverEvents.push(event); }));
    CHECK(await<stream_opened>(clientEvents).connection != before);
}
