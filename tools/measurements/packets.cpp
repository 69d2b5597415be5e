// Measures an entry: packets per second over loopback compared with a forwarder that makes no
// routing decision, the time of one decision, and the build time and memory of a service's table.

#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/ip_packet.h"
#include "lycheeshunt/routing/entry_port.h"
#include "lycheeshunt/routing/internal/packet_batch.h"
#include "tools/measurements/measurement.h"

#include <CLI/CLI.hpp>

#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>

#include <algorithm>
#include <chrono>
#include <cstring>

namespace {

using namespace lycheeshunt;
using routing::internal::packet_batch;

const base::endpoint serviceAddress {0xc0000201, 443};
const base::endpoint anyLoopback {0x7f000001, 0};
constexpr std::uint32_t buckets = 512;
constexpr std::size_t payloadBytes = 200;

double nowSeconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

double cpuSeconds(clockid_t clock)
{
    timespec cpuTime {};
    clock_gettime(clock, &cpuTime);
    return static_cast<double>(cpuTime.tv_sec) + static_cast<double>(cpuTime.tv_nsec) * 1e-9;
}

// CPU time of all threads except the calling one. Under load this is the forwarding thread; the
// others wait.
double otherThreadsCpuSeconds()
{
    return cpuSeconds(CLOCK_PROCESS_CPUTIME_ID) - cpuSeconds(CLOCK_THREAD_CPUTIME_ID);
}

std::string callerPacket(std::uint32_t caller)
{
    iphdr ip {};
    tcphdr tcp {};
    ip.version = IPVERSION;
    ip.ihl = sizeof ip / 4;
    ip.tot_len = htons(sizeof ip + sizeof tcp + payloadBytes);
    ip.protocol = IPPROTO_TCP;
    ip.saddr = htonl(0x0a000000 + caller);
    ip.daddr = htonl(serviceAddress.address);
    tcp.source = htons(40000);
    tcp.dest = htons(serviceAddress.port);
    tcp.doff = sizeof tcp / 4;
    tcp.ack = 1;
    std::string bytes(sizeof ip + sizeof tcp + payloadBytes, 'x');
    std::memcpy(bytes.data(), &ip, sizeof ip);
    std::memcpy(bytes.data() + sizeof ip, &tcp, sizeof tcp);
    return bytes;
}

dissemination::cluster_view viewOf(std::size_t servers, const base::endpoint &agents)
{
    std::vector<membership::member> members;
    for (std::size_t i = 0; i < servers; ++i)
        members.push_back(
            membership::member {"agent-" + std::to_string(i), "z1", membership::member_role::agent,
                                base::serviceIdOf("logbook"), base::incarnation(1), agents});
    return dissemination::cluster_view {}
        .withTicket(base::generation(1),
                    tickets::ticket {base::ticket_number(1),
                                     "measure",
                                     {tickets::service_definition {
                                         "logbook", {{serviceAddress, IPPROTO_TCP}}, {}, buckets}}})
        .withBatch(base::generation(2), {std::move(members), {}});
}

// Forwards with the same buffers and system calls as an entry, but sends every packet to one fixed
// address.
class bare_forwarder
{
public:
    bare_forwarder(base::file_descriptor socket, const base::endpoint &to)
        : m_socket(std::move(socket)), m_to(to), m_stop(eventfd(0, EFD_CLOEXEC)),
          m_thread([this]() { run(); })
    {
    }

    ~bare_forwarder()
    {
        eventfd_write(m_stop.get(), 1);
        m_thread.join();
    }

    base::endpoint local() const { return base::localEndpoint(m_socket); }

private:
    void run()
    {
        const std::unique_ptr<packet_batch> batch = std::make_unique<packet_batch>();
        for (;;) {
            pollfd watched[] = {{m_socket.get(), POLLIN, 0}, {m_stop.get(), POLLIN, 0}};
            ::poll(watched, std::size(watched), -1);
            if (watched[1].revents != 0)
                return;
            const std::size_t count = batch->receive(m_socket.get());
            for (std::size_t i = 0; i < count; ++i)
                batch->forwardBare(i, m_to);
            batch->send(m_socket.get());
        }
    }

    const base::file_descriptor m_socket;
    const base::endpoint m_to;
    const base::file_descriptor m_stop;
    std::thread m_thread;
};

base::file_descriptor openSocket()
{
    return base::takeValue(base::openDatagramSocket(anyLoopback));
}

std::size_t receiveAll(const base::file_descriptor &sink, packet_batch &batch)
{
    std::size_t total = 0;
    while (const std::size_t count = batch.receive(sink.get()))
        total += count;
    return total;
}

// Sends windows of packets through a forwarder to the sink and waits until each window has been
// received or no packet has arrived for 50 ms. Returns the number of packets received per second of
// CPU time of the forwarder's thread.
double packetsPerSecond(const base::endpoint &forwarder, const base::file_descriptor &sink)
{
    constexpr std::size_t window = 2048;
    constexpr double durationSeconds = 1.0;
    constexpr int lossWaitMillis = 50;
    const base::file_descriptor source = openSocket();
    const std::unique_ptr<packet_batch> batch = std::make_unique<packet_batch>();
    std::vector<std::string> packets;
    for (std::uint32_t i = 0; i < window; ++i)
        packets.push_back(callerPacket(i));
    std::vector<iovec> buffers;
    buffers.reserve(window);
    std::vector<mmsghdr> messages(window);
    sockaddr_in to = base::toSocketAddress(forwarder);
    for (std::string &packet : packets)
        buffers.push_back(iovec {packet.data(), packet.size()});
    for (std::size_t i = 0; i < window; ++i)
        messages[i].msg_hdr = msghdr {&to, sizeof to, &buffers[i], 1, nullptr, 0, 0};
    std::size_t received = 0;
    const double cpuBefore = otherThreadsCpuSeconds();
    const double start = nowSeconds();
    while (nowSeconds() - start < durationSeconds) {
        for (std::size_t sent = 0; sent < window; sent += packet_batch::capacity)
            ::sendmmsg(source.get(), &messages[sent], packet_batch::capacity, 0);
        std::size_t receivedInWindow = 0;
        while (receivedInWindow < window) {
            pollfd watched {sink.get(), POLLIN, 0};
            if (::poll(&watched, 1, lossWaitMillis) <= 0)
                break;
            receivedInWindow += receiveAll(sink, *batch);
        }
        received += receivedInWindow;
    }
    return static_cast<double>(received) / (otherThreadsCpuSeconds() - cpuBefore);
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void measureForwarding()
{
    constexpr int rounds = 5;
    const base::file_descriptor sink = openSocket();
    const base::endpoint to = base::localEndpoint(sink);
    const std::unique_ptr<routing::entry_port> port
        = base::takeValue(routing::entry_port::open({anyLoopback}, packets::ipPackets()));
    port->updates().push(std::make_shared<const routing::routing_table>(viewOf(7, to)));
    const bare_forwarder bare(openSocket(), to);
    std::vector<double> entryRates;
    std::vector<double> bareRates;
    std::vector<double> ratios;
    for (int i = 0; i < rounds; ++i) {
        bareRates.push_back(packetsPerSecond(bare.local(), sink));
        entryRates.push_back(packetsPerSecond(port->local(), sink));
        ratios.push_back(entryRates.back() / bareRates.back());
    }
    const std::string baseline = std::to_string(median(bareRates));
    measurements::report("entry.packets_per_core_second", median(entryRates), "packet/s", "null",
                         baseline);
    measurements::report("entry.rate_over_bare_forwarder", median(ratios), "ratio", "0.8", "1");
    measurements::report("entry.unsent", static_cast<double>(port->unsent()), "packet", "0");
}

void measureTables()
{
    for (const std::size_t servers : {10U, 100U, 1000U}) {
        const dissemination::cluster_view view = viewOf(servers, anyLoopback);
        const double start = nowSeconds();
        const routing::routing_table table(view);
        const double buildSeconds = nowSeconds() - start;
        const std::string suffix = "." + std::to_string(servers) + "_servers";
        measurements::report("entry.table_build" + suffix, buildSeconds * 1e3, "ms");
        measurements::report("entry.service_memory" + suffix,
                             static_cast<double>(table.memoryBytesOf(base::serviceIdOf("logbook"))),
                             "byte");
    }
}

// Parses and routes packets one by one; callgrind counts the instructions of this function.
std::uint64_t routePackets(std::size_t packets)
{
    const routing::routing_table table(viewOf(7, anyLoopback));
    std::vector<std::string> samples;
    for (std::uint32_t i = 0; i < 64; ++i)
        samples.push_back(callerPacket(i));
    std::uint64_t checksum = 0;
    for (std::size_t i = 0; i < packets; ++i) {
        const base::result<packets::ip_summary> summary
            = packets::summarize(samples[i % samples.size()], packets::direction::fromCaller);
        const routing::routing_outcome outcome = table.routeOf(base::valueOf(summary).key);
        checksum += std::get<routing::route>(outcome).to.node.value();
    }
    return checksum;
}

void measureDecision()
{
    constexpr std::size_t packets = 2'000'000;
    const double start = nowSeconds();
    const std::uint64_t checksum = routePackets(packets);
    const double elapsed = nowSeconds() - start;
    measurements::report(checksum != 0 ? "entry.decision_time" : "entry.decision_time_void",
                         elapsed / packets * 1e9, "ns");
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("measure_packets: what an entry does to each packet, and what its tables cost");
    std::size_t routingOnly = 0;
    app.add_option("--routing-only", routingOnly, "only read and route this many packets");
    CLI11_PARSE(app, argc, argv);
    if (routingOnly > 0)
        return routePackets(routingOnly) != 0 ? 0 : 1;
    measureTables();
    measureDecision();
    measureForwarding();
    return 0;
}
