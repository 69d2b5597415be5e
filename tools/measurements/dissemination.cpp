// Measures the size and CPU time of deltas, snapshots and digests for different numbers of
// services, servers per service and changed members. Prints one JSON object per line.

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/dissemination/decision.h"
#include "lycheeshunt/dissemination/view_digest.h"
#include "lycheeshunt/membership/codec.h"
#include "tools/measurements/measurement.h"
#include "tools/measurements/snapshot_size.h"

#include <chrono>

namespace {

using namespace lycheeshunt;
using namespace lycheeshunt::dissemination;
using measurements::report;

constexpr int repetitions = 20;

membership::member agentAt(std::uint32_t service, std::uint32_t index)
{
    constexpr std::uint32_t network = 0x0a000000;
    constexpr std::uint16_t port = 7500;
    return membership::member {"agent-" + std::to_string(service) + "-" + std::to_string(index),
                               "zone-" + std::to_string(index % 23),
                               membership::member_role::agent,
                               base::serviceIdOf("service-" + std::to_string(service)),
                               base::incarnation(1),
                               base::endpoint {network + index, port},
                               membership::member_phase::serving};
}

cluster_view viewOf(std::uint32_t services, std::uint32_t serversPerService)
{
    constexpr std::uint32_t firstAddress = 0xc0000200;
    std::vector<tickets::ticket_change> changes;
    std::vector<membership::member> members;
    for (std::uint32_t i = 0; i < services; ++i) {
        changes.emplace_back(tickets::service_definition {
            "service-" + std::to_string(i), {{base::endpoint {firstAddress + i, 443}, 6}}});
        for (std::uint32_t server = 0; server < serversPerService; ++server)
            members.push_back(agentAt(i, server));
    }
    return cluster_view {base::generation()}
        .withTicket(base::generation(1), {base::ticket_number(1), "measure", changes})
        .withBatch(base::generation(2), {members, {}});
}

template <typename work_type>
double microsOf(const work_type &work)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (int i = 0; i < repetitions; ++i)
        work();
    const std::chrono::duration<double, std::micro> elapsed
        = std::chrono::steady_clock::now() - start;
    return elapsed.count() / repetitions;
}

void measureView(std::uint32_t services, std::uint32_t serversPerService)
{
    const std::string size
        = std::to_string(services) + "_services_of_" + std::to_string(serversPerService);
    const cluster_view view = viewOf(services, serversPerService);
    const view_scope agent {base::serviceIdOf("service-0")};
    report("entry_snapshot_at_" + size,
           static_cast<double>(measurements::snapshotBytes(view, view_scope {})), "bytes");
    report("agent_snapshot_at_" + size,
           static_cast<double>(measurements::snapshotBytes(view, agent)), "bytes");
    report("digest_whole_at_" + size, microsOf([&]() { digestOf(view); }), "us");
    const view_change change = changeOf(view, {{agentAt(0, 0)}, {}});
    report("apply_one_member_at_" + size,
           microsOf([&]() { change.appliedTo(view, base::generation(3)); }), "us");
    report("digest_one_member_at_" + size,
           microsOf([&]() { digestAfter(view_digest(), view, change); }), "us");
}

void measureDelta(std::uint32_t changedMembers)
{
    std::vector<membership::member> members;
    for (std::uint32_t i = 0; i < changedMembers; ++i)
        members.push_back(agentAt(i, 0));
    const cluster_view empty {base::generation()};
    const control_message delta
        = view_delta {base::generation(1), base::generation(2), base::generation(2), view_digest(),
                      changeOf(empty, {members, {}})};
    const std::string size = std::to_string(changedMembers) + "_members";
    const std::string bytes = encodeControlMessage(delta);
    report("delta_of_" + size, static_cast<double>(bytes.size()), "bytes");
    report("encode_delta_of_" + size, microsOf([&]() { encodeControlMessage(delta); }), "us");
    report("decode_delta_of_" + size, microsOf([&]() { decodeControlMessage(bytes); }), "us");
}

// Messages that a node sends while nothing changes, without HTTP/2 framing.
void measureIdle()
{
    const node_message message
        = acknowledgement {base::generation(100'000), view_digest(1ULL << 63)};
    report("announcement", static_cast<double>(membership::encodeMember(agentAt(1, 1)).size()),
           "bytes");
    report("acknowledgement", static_cast<double>(encodeNodeMessage(message).size()), "bytes");
}

} // namespace

int main()
{
    for (const std::uint32_t services : {100U, 1000U, 4900U})
        measureView(services, 9);
    for (const std::uint32_t servers : {3U, 30U, 300U})
        measureView(100, servers);
    for (const std::uint32_t changedMembers : {0U, 1U, 10U, 100U, 1000U})
        measureDelta(changedMembers);
    measureIdle();
    return 0;
}
