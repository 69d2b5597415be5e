// Measures how memory, CPU time and traffic grow with the number of members, services and streams,
// each at three sizes or more, for docs/CAPACITY.md. Prints one JSON object per line.

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/routing/routing_table.h"
#include "lycheeshunt/streams/stream_client.h"
#include "lycheeshunt/streams/stream_server.h"
#include "tools/measurements/measurement.h"
#include "tools/measurements/process_use.h"
#include "tools/measurements/snapshot_size.h"

#include <condition_variable>
#include <mutex>

namespace {

using namespace lycheeshunt;
using measurements::heapBytes;
using measurements::processorMicros;
using measurements::report;

constexpr std::uint32_t serversPerService = 9;

tickets::service_definition serviceAt(std::uint32_t index)
{
    constexpr std::uint32_t firstAddress = 0xc0000200;
    return tickets::service_definition {"service-" + std::to_string(index),
                                        {{base::endpoint {firstAddress + index, 443}, 6}},
                                        {},
                                        512};
}

membership::member agentAt(std::uint32_t index)
{
    constexpr std::uint32_t network = 0x0a000000;
    const std::uint32_t service = index / serversPerService;
    return membership::member {"agent-" + std::to_string(index),
                               "zone-" + std::to_string(index % 23),
                               membership::member_role::agent,
                               base::serviceIdOf("service-" + std::to_string(service)),
                               base::incarnation(1),
                               base::endpoint {network + index, 7500},
                               membership::member_phase::serving};
}

dissemination::shared_view viewOf(std::uint32_t services)
{
    std::vector<tickets::ticket_change> changes;
    std::vector<membership::member> members;
    for (std::uint32_t i = 0; i < services; ++i)
        changes.emplace_back(serviceAt(i));
    for (std::uint32_t i = 0; i < services * serversPerService; ++i)
        members.push_back(agentAt(i));
    const dissemination::cluster_view empty {};
    return std::make_shared<const dissemination::cluster_view>(
        empty.withTicket(base::generation(1), {base::ticket_number(1), "slopes", changes})
            .withBatch(base::generation(2), {members, {}}));
}

void measureViews()
{
    for (const std::uint32_t services : {100U, 400U, 1600U, 4900U}) {
        const std::string size = std::to_string(services) + "_services";
        const double heapBefore = heapBytes();
        const dissemination::shared_view view = viewOf(services);
        const double heapWithView = heapBytes();
        report("view_bytes_at_" + size, heapWithView - heapBefore, "bytes");
        report(
            "view_snapshot_bytes_at_" + size,
            static_cast<double>(measurements::snapshotBytes(*view, dissemination::view_scope {})),
            "bytes");
        double start = processorMicros();
        const dissemination::cluster_view updated
            = view->withBatch(base::generation(3), {{agentAt(0)}, {}});
        report("view_apply_one_member_at_" + size, processorMicros() - start, "us");
        const double heapBeforeTable = heapBytes();
        start = processorMicros();
        const routing::routing_table table(updated);
        report("routing_table_build_at_" + size, processorMicros() - start, "us");
        report("routing_table_bytes_at_" + size, heapBytes() - heapBeforeTable, "bytes");
        const dissemination::cluster_view shrunk
            = updated.withBatch(base::generation(4), {{}, {agentAt(0).id()}});
        start = processorMicros();
        const routing::routing_table rebuilt(shrunk, table);
        report("routing_table_rebuild_after_one_leaves_at_" + size, processorMicros() - start,
               "us");
    }
}

// A latch that lets the main thread wait for a number of events without polling.
class countdown
{
public:
    explicit countdown(std::size_t count) : m_remaining(count) { }

    void countDown()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        --m_remaining;
        m_changed.notify_all();
    }

    void wait()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait(lock, [this]() { return m_remaining == 0; });
    }

    // Waits for the whole span, regardless of the count.
    void sleepFor(base::clock_time span)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::milliseconds(span.millis()), []() { return false; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_remaining;
};

// Measures idle streams. Both ends run in this process, so a figure per stream covers its two ends.
void measureStreams()
{
    constexpr base::clock_time span = base::clock_time::ofSeconds(4);
    for (const std::size_t count : {25U, 100U, 400U}) {
        const double heapBefore = heapBytes();
        countdown opened(count);
        std::unique_ptr<streams::stream_server> server
            = base::takeValue(streams::stream_server::listen(base::endpoint {0x7f000001, 0}, {},
                                                             [](const streams::stream_event &) {}));
        std::vector<std::unique_ptr<streams::stream_client>> clients;
        for (std::size_t i = 0; i < count; ++i)
            clients.push_back(std::make_unique<streams::stream_client>(
                std::vector<base::endpoint> {server->local()}, streams::stream_timing {}, i,
                [&opened](const streams::stream_event &event) {
                    if (std::holds_alternative<streams::stream_opened>(event))
                        opened.countDown();
                }));
        opened.wait();
        std::uint64_t bytesBefore = 0;
        opened.sleepFor(base::clock_time::ofSeconds(2));
        for (const std::unique_ptr<streams::stream_client> &client : clients)
            bytesBefore += client->bytesCarried();
        const double cpuBefore = processorMicros();
        opened.sleepFor(span);
        const double seconds = static_cast<double>(span.millis()) / 1000;
        const double streams = static_cast<double>(count);
        std::uint64_t bytesCarried = 0;
        for (const std::unique_ptr<streams::stream_client> &client : clients)
            bytesCarried += client->bytesCarried();
        const std::string size = std::to_string(count) + "_streams";
        report("idle_stream_both_ends_processor_at_" + size,
               (processorMicros() - cpuBefore) / seconds / streams, "us/s a stream");
        report("idle_stream_bytes_at_" + size,
               static_cast<double>(bytesCarried - bytesBefore) / seconds / streams,
               "TCP payload bytes/s a stream");
        report("stream_both_ends_heap_at_" + size, (heapBytes() - heapBefore) / streams,
               "bytes a stream");
    }
}

} // namespace

int main()
{
    measureViews();
    measureStreams();
    return 0;
}
