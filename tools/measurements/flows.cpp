// Measures the flow decisions: what breaks over the recorded trace of membership changes, bytes a
// flow and a directory entry, new flows a second, and what registrations cost. One JSON object a
// line. Run it from the repository's root.

#include "lycheeshunt/flows/trace_replay_test.h"
#include "tools/measurements/measurement.h"
#include "tools/measurements/process_use.h"

namespace {

using namespace lycheeshunt;
using namespace lycheeshunt::flows;
using measurements::heapBytes;
using measurements::processorMicros;
using measurements::report;

constexpr std::uint64_t seed = 21;
const base::endpoint address {0xc0000201, 443};

base::flow_key keyNumber(std::uint32_t number)
{
    return base::flow_key {base::endpoint {0x0a000000 + number / 60000,
                                           static_cast<std::uint16_t>(1024 + number % 60000)},
                           address, 6};
}

// Returns false when the trace is not there: a replay of nothing breaks nothing.
bool measureTrace()
{
    const std::vector<trace_step> steps = readTrace("traces/membership-300.txt");
    if (steps.empty()) {
        std::cerr << "no steps in traces/membership-300.txt below the current folder\n";
        return false;
    }
    trace_replay replay(seed);
    const trace_outcome outcome = replay.play(steps);
    const std::string feeds = std::to_string(outcome.feeds) + " feeds";
    report("flows_broken_by_planned_change_or_entry_loss", double(outcome.brokenByPlannedChange),
           feeds, "0",
           "{\"consistent_hashing\":" + std::to_string(outcome.brokenWithHashing)
               + ",\"one_previous_owner\":" + std::to_string(outcome.brokenWithOnePrevious) + "}");
    report("flows_broken_by_their_dead_server",
           double(outcome.broken - outcome.brokenByPlannedChange), feeds,
           std::to_string(outcome.lostWithServers));
    report("flows_silent_or_at_two_servers", double(outcome.notReset + outcome.split), feeds, "0");
    return true;
}

// One agent of seven, alone with its state; its messages go nowhere.
class lone_agent
{
public:
    lone_agent() : m_state(identityOf(m_membership.join("agent-0", "service", "zone-1", {1, 1})))
    {
        for (std::uint16_t i = 1; i < 7; ++i)
            m_membership.join("agent-" + std::to_string(i), "service", "zone-1", {1, i});
        m_membership.define("service", {address}, 2000);
        tell(view_update {m_membership.view()});
        // Its peers have nothing to give back.
        for (std::uint16_t i = 1; i < 7; ++i)
            tell(peer_message(recovery_page {
                service(), peer(i).node, m_state->identity->incarnation, {}, false}));
    }

    static base::service_id service() { return base::serviceIdOf("service"); }
    routing::target peer(std::uint16_t index) const
    {
        const base::node_id node = base::nodeIdOf("agent-" + std::to_string(index));
        const membership::member &known = m_membership.view()->members.at(node);
        return routing::target {node, known.incarnation, known.packets};
    }

    std::vector<flow_action> tell(const flow_message &message)
    {
        m_now = m_now + base::clock_time::ofMillis(1);
        base::step<flow_state, flow_action> next = decide(std::move(*m_state), message, m_now);
        m_state.emplace(std::move(next.state));
        return std::move(next.actions);
    }

    // Opens a flow and acknowledges its registrations.
    void open(const base::flow_key &key)
    {
        const std::vector<flow_action> actions = tell(forwarded_packet {
            service(), m_state->identity->incarnation, base::generation(1), packet_stage::offer, 0,
            packets::ip_summary {key, true}, base::packet_bytes()});
        for (const flow_action &action : actions)
            acknowledge(action);
    }

    void end(const base::flow_key &key)
    {
        tell(server_answer {packets::ip_summary {key, false, false, true}, base::packet_bytes()});
    }

    const flow_state &state() const { return *m_state; }

private:
    static flow_state identityOf(const membership::member &self)
    {
        return flow_state(agent_identity {self.id(), self.service, self.incarnation, self.packets});
    }

    void acknowledge(const flow_action &action)
    {
        const send_to_peer *sent = std::get_if<send_to_peer>(&action);
        const registration_batch *batch
            = sent == nullptr ? nullptr : std::get_if<registration_batch>(&sent->message);
        if (batch == nullptr)
            return;
        for (std::uint16_t i = 1; i < 7; ++i) {
            if (peer(i).packets == sent->to)
                tell(peer_message(registration_ack {service(), peer(i).node, base::generation(1),
                                                    batch->owner.incarnation, batch->sequence}));
        }
    }

    fake_membership m_membership;
    std::optional<flow_state> m_state;
    base::clock_time m_now = base::clock_time::ofSeconds(1000);
};

void measureMemory()
{
    constexpr std::uint32_t flows = 2000;
    constexpr std::uint32_t entries = 8000;
    lone_agent agent;
    const double before = heapBytes();
    for (std::uint32_t i = 0; i < flows; ++i)
        agent.open(keyNumber(i));
    const double withFlows = heapBytes();
    for (std::uint32_t i = 0; i < entries; ++i)
        agent.tell(peer_message(registration_batch {lone_agent::service(),
                                                    agent.peer(1),
                                                    base::generation(1),
                                                    i + 1,
                                                    {{keyNumber(100000 + i), true}}}));
    const double withEntries = heapBytes();
    report("bytes_a_flow", (withFlows - before) / double(agent.state().owned.size()), "bytes",
           "200");
    report("bytes_a_directory_entry",
           (withEntries - withFlows) / double(agent.state().directory.size()), "bytes", "200");
}

void measureRate()
{
    constexpr std::uint32_t flows = 300000;
    constexpr std::uint32_t openAtOnce = 1000;
    constexpr std::uint32_t tickEvery = 100;
    lone_agent agent;
    const double began = processorMicros();
    for (std::uint32_t i = 0; i < flows; ++i) {
        agent.open(keyNumber(i));
        if (i >= openAtOnce)
            agent.end(keyNumber(i - openAtOnce));
        if (i % tickEvery == 0)
            agent.tell(tick {});
    }
    const double spent = (processorMicros() - began) / 1e6;
    report("new_flows_a_second_per_core", double(flows) / spent,
           "flows (opened, registered, acknowledged, ended)");
}

void measureRegistrations(bool closing)
{
    constexpr std::size_t agents = 9;
    // 290,000 new flows a second over 44,000 servers are 59.3 over nine; six in each tick are 60.
    constexpr std::size_t flowsInTick = 6;
    constexpr std::int64_t seconds = 120;
    constexpr std::size_t openTicks = 300;
    // A flow whose caller sends nothing after its first packet would expire.
    constexpr std::size_t ackEvery = 100;
    constexpr double allAgents = 44000;
    fake_cluster all(seed, fake_network::faults {});
    all.membership().define("service", {address}, 2000);
    for (std::size_t i = 0; i < agents; ++i)
        all.addAgent("agent-" + std::to_string(i), "service", "zone-1");
    all.publish();
    all.run(base::clock_time::ofSeconds(5));
    const std::uint64_t before = all.peerBytes();
    for (std::size_t i = 0; i < std::size_t(seconds) * 10; ++i) {
        all.openFlows(address, flowsInTick);
        if (i % ackEvery == 0)
            all.callers().sendOnAll(all.network().now());
        for (std::size_t j = 0; closing && i >= openTicks && j < flowsInTick; ++j)
            all.callers().close((i - openTicks) * flowsInTick + j, all.network().now());
        all.run(base::clock_time::ofMillis(100));
    }
    const double sent = double(all.peerBytes() - before) / double(agents) / double(seconds);
    const std::string suffix = closing ? "_with_closing" : "_without_closing";
    report("registration_bytes_a_second_a_node" + suffix, 2 * sent, "bytes sent and received",
           "3000");
    report("registration_bytes_a_second" + suffix, sent * allAgents, "bytes sent by all nodes");
}

} // namespace

int main()
{
    if (!measureTrace())
        return 1;
    measureMemory();
    measureRate();
    measureRegistrations(false);
    measureRegistrations(true);
}
